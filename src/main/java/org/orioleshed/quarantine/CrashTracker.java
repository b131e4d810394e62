package org.orioleshed.quarantine;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.orioleshed.model.PartId;
import org.orioleshed.model.ServerId;

/**
 * Finds what in requests crashes servers, and quarantines it: whole contents and parts of prompts.
 * What is held is logged and passed on to the other hosts.
 */
public final class CrashTracker {
    /** A run that wrote for this long did not crash its server. */
    public static final long SURVIVAL_MILLIS = 500;

    /** A tracker that has just begun does not know which parts were answered before. */
    private static final long WARM_UP_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Evidence is weighed until this time after it last changed. */
    private static final long JUDGE_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Only crashes as recent as this are reported to another host. */
    private static final long REPORTED_MILLIS = 60_000;

    private final CrashEvidence evidence = new CrashEvidence();
    private final BreakRate breakRate = new BreakRate();
    private final Quarantine quarantine;
    private final Consumer<String> log;
    private final List<CrashReport.Held> newlyHeld = new ArrayList<>();
    private final List<Suspect> newlyReleased = new ArrayList<>();
    private boolean started;
    private long startedNanos;
    private boolean decides = true;
    private boolean changed;
    private long changedNanos;

    /**
     * Creates a tracker without evidence.
     *
     * @param isPrimary whether it decides for all hosts, also when something is tried again
     * @param log receives a line for each change of what is believed
     */
    public CrashTracker(boolean isPrimary, Consumer<String> log) {
        this.quarantine = new Quarantine(isPrimary);
        this.log = log;
    }

    /**
     * Records that a run broke.
     *
     * @param streamedMillis the time from its first event to its last one, in milliseconds
     */
    public void runBroke(
            ServerStart at, RequestContent content, long streamedMillis, long nowNanos) {
        addBrokenRun(at, content, streamedMillis, true, nowNanos);
    }

    /** Records that a server was silent on a run for so long that it was given up. */
    public void serverSilent(
            ServerStart at, RequestContent content, long streamedMillis, long nowNanos) {
        addBrokenRun(at, content, streamedMillis, false, nowNanos);
    }

    private void addBrokenRun(
            ServerStart at,
            RequestContent content,
            long streamedMillis,
            boolean broke,
            long nowNanos) {
        boolean atBeginning = streamedMillis < SURVIVAL_MILLIS;
        Set<PartId> parts = atBeginning ? content.parts() : Set.of();
        RequestContent suspected = new RequestContent(content.fingerprint(), parts);
        evidence.addBrokenRun(at, suspected, broke, nowNanos);
        if (broke && atBeginning) {
            breakRate.addBroken(nowNanos);
        }
        if (decides) {
            holdTried(suspected, nowNanos);
        }
    }

    /** Holds again what was tried after its hold time and broke. */
    private void holdTried(RequestContent content, long nowNanos) {
        for (Suspect suspect : content.suspects()) {
            if (quarantine.isTried(suspect)) {
                hold(quarantine.hold(suspect, 1, nowNanos, nowNanos), "tried again");
            }
        }
    }

    /** Records that a server is gone or restarted. */
    public void serverLost(ServerId server, long nowNanos) {
        evidence.confirmCrash(server, nowNanos)
                .ifPresent(crash -> counted(crash, "server_lost", nowNanos));
    }

    private void counted(Crash crash, String by, long nowNanos) {
        changed = true;
        log.accept(CrashLog.counted(crash, by, nowNanos));
    }

    /** Records that a server wrote on a run that it was sent at {@code sentNanos}. */
    public void serverWrote(ServerStart at, long sentNanos, long nowNanos) {
        evidence.serverWrote(at, sentNanos, nowNanos);
    }

    /** Records that a run wrote for longer than a crashing one does, and began at that time. */
    public void runSurvived(RequestContent content, long beganNanos) {
        clear(content, beganNanos);
    }

    /** Records that a run was answered whole, and that the answer began at that time. */
    public void runAnswered(RequestContent content, long beganNanos) {
        breakRate.addAnswered(beganNanos);
        evidence.addAnswer(content.fingerprint(), beganNanos);
        clear(content, beganNanos);
        answered(new Suspect.Content(content.fingerprint()), beganNanos);
    }

    private void clear(RequestContent content, long beganNanos) {
        if (content.parts().isEmpty()) {
            return;
        }
        if (!evidence.addAnswer(content.parts(), beganNanos).isEmpty()) {
            changed = true;
        }
        content.parts().forEach(part -> answered(new Suspect.Part(part), beganNanos));
    }

    private void answered(Suspect suspect, long beganNanos) {
        if (quarantine.answered(suspect, beganNanos)) {
            released(suspect, "answered");
        }
    }

    private void released(Suspect suspect, String why) {
        newlyReleased.add(suspect);
        log.accept("event=quarantine_ended suspect=%s why=%s".formatted(suspect, why));
    }

    /**
     * Ends the quarantine of a suspect and forgets what spoke against it.
     *
     * @param why the reason, for the log
     */
    public void release(Suspect suspect, String why, long nowNanos) {
        switch (suspect) {
            case Suspect.Content content -> evidence.addAnswer(content.fingerprint(), nowNanos);
            case Suspect.Part part -> evidence.addAnswer(Set.of(part.id()), nowNanos);
        }
        if (quarantine.release(suspect)) {
            released(suspect, why);
        }
    }

    /** Returns whether answers of this content tell anything about a recent crash. */
    public boolean isSuspected(RequestContent content) {
        return content.parts().stream().anyMatch(evidence::isSuspected)
                || content.suspects().stream().anyMatch(quarantine::isTried);
    }

    /** Returns what keeps a content from running now; empty if it may run. */
    public Optional<CrashReport.Held> holding(RequestContent content, long nowNanos) {
        return quarantine.holding(content, nowNanos);
    }

    /** Records that a request is placed, possibly to try something after its hold time. */
    public void placed(RequestContent content, long nowNanos) {
        for (Suspect suspect : quarantine.tried(content, nowNanos)) {
            log.accept("event=quarantine_tried suspect=%s".formatted(suspect));
        }
    }

    /** Sets whether this tracker decides what is quarantined, or only gathers evidence. */
    public void setDecides(boolean newDecides) {
        changed |= newDecides && !decides;
        decides = newDecides;
        if (!decides) {
            quarantine.dropUndecided();
        }
    }

    /**
     * Weighs the evidence if there is new one.
     *
     * @param hasOlderRuns whether a run that was sent to a server before a time is still under way
     */
    public void tick(OlderRuns hasOlderRuns, long nowNanos) {
        if (!started) {
            started = true;
            startedNanos = nowNanos;
        }
        Predicate<Crash> hasOlder = crash -> hasOlderRuns.test(crash.server(), crash.firstNanos());
        evidence.countSilentServers(hasOlder, nowNanos)
                .forEach(crash -> counted(crash, "all_runs_broke", nowNanos));
        if (changed) {
            changed = false;
            changedNanos = nowNanos;
        }
        if (decides && nowNanos - changedNanos < JUDGE_NANOS) {
            judge(nowNanos);
        }
    }

    /** Tells whether a server has runs that were sent to it before a time. */
    public interface OlderRuns {
        /** Returns whether this start of a server has a run that was sent before that time. */
        boolean test(ServerStart server, long sentBeforeNanos);
    }

    private void judge(long nowNanos) {
        List<Crash> counted = evidence.counted();
        if (counted.size() < CrashJudge.MIN_CRASHES) {
            return;
        }
        Set<Suspect> excluded = new HashSet<>(quarantine.suspects());
        excluded.forEach(suspect -> explain(counted, suspect));
        boolean warmingUp = nowNanos - startedNanos < WARM_UP_NANOS;
        Predicate<PartId> isKnown = part -> warmingUp || evidence.wasAnswered(part);
        CrashJudge judge = new CrashJudge(counted, isKnown, breakRate, nowNanos);
        Set<Suspect> guilty = judge.guilty(excluded);
        while (!guilty.isEmpty()) {
            for (Suspect suspect : guilty) {
                List<Crash> crashes = judge.crashes(suspect);
                hold(
                        quarantine.hold(
                                suspect, crashes.size(), crashes.getLast().firstNanos(), nowNanos),
                        CrashLog.reasons(suspect, crashes, judge, nowNanos));
            }
            guilty.forEach(suspect -> explain(counted, suspect));
            excluded.addAll(guilty);
            guilty = judge.guilty(excluded);
        }
    }

    /**
     * Marks the crashes that a quarantined part explains. A whole content explains none: the guilty
     * may be one of its parts.
     */
    private static void explain(List<Crash> crashes, Suspect suspect) {
        if (suspect instanceof Suspect.Part) {
            crashes.stream()
                    .filter(crash -> crash.suspects().contains(suspect))
                    .forEach(Crash::explain);
        }
    }

    private void hold(CrashReport.Held held, String why) {
        newlyHeld.add(held);
        log.accept(CrashLog.held(held, why));
    }

    /** Returns what was quarantined since the last call. */
    public List<CrashReport.Held> takeHeld() {
        List<CrashReport.Held> result = List.copyOf(newlyHeld);
        newlyHeld.clear();
        return result;
    }

    /** Returns what was released since the last call. */
    public List<Suspect> takeReleased() {
        List<Suspect> result = List.copyOf(newlyReleased);
        newlyReleased.clear();
        return result;
    }

    /** Returns all that is quarantined. */
    public List<CrashReport.Held> held(long nowNanos) {
        return quarantine.list(nowNanos);
    }

    /** Returns what another host needs to go on from here. */
    public CrashReport report(long nowNanos) {
        List<CrashReport.Seen> crashes =
                evidence.counted().stream()
                        .filter(crash -> crash.ageMillis(nowNanos) <= REPORTED_MILLIS)
                        .map(crash -> seen(crash, nowNanos))
                        .toList();
        return new CrashReport(crashes, quarantine.listDecided(nowNanos));
    }

    private static CrashReport.Seen seen(Crash crash, long nowNanos) {
        List<RequestContent> runs = new ArrayList<>();
        crash.partsByContent()
                .forEach((content, parts) -> runs.add(new RequestContent(content, parts)));
        return new CrashReport.Seen(crash.server(), crash.ageMillis(nowNanos), runs);
    }

    /** Adds what another host saw and holds. */
    public void merge(CrashReport report, long nowNanos) {
        report.crashes().forEach(seen -> evidence.merge(seen, nowNanos));
        for (CrashReport.Held held : report.held()) {
            if (quarantine.merge(held, nowNanos)) {
                newlyHeld.add(held);
                log.accept(CrashLog.learned(held));
            }
        }
        changed = true;
    }
}
