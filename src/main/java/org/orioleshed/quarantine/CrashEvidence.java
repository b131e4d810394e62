package org.orioleshed.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.orioleshed.model.PartId;
import org.orioleshed.model.ServerId;

/** The crashes of servers, what ran when they crashed, and what was answered since. */
final class CrashEvidence {
    /** Runs that a crash breaks are mostly reported within this time. */
    private static final long BREAK_WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** A server that broke its only run and writes nothing for this time counts as crashed. */
    private static final long SILENCE_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Runs of one server that break within this time belong to one crash. */
    private static final long CRASH_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** An end of a run that is reported this late came after the crash. */
    private static final long REPORT_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** A crashed server is seen to be lost within this time after its runs broke. */
    private static final long LOSS_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(6);

    private static final long CRASH_RETENTION_NANOS = TimeUnit.HOURS.toNanos(1);
    private static final int MAX_CRASHES = 512;

    private static final int MAX_ANSWERED_PARTS = 16_384;

    private final List<Crash> crashes = new ArrayList<>();
    private final Map<PartId, Long> answeredNanos =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<PartId, Long> eldest) {
                    return size() > MAX_ANSWERED_PARTS;
                }
            };
    private final Set<PartId> suspectedParts = new HashSet<>();

    /**
     * Records that a run broke.
     *
     * @param run what is to blame if the run crashed the server
     * @param broke whether the server broke the connection, rather than only fell silent
     */
    void addBrokenRun(ServerStart server, RequestContent run, boolean broke, long nowNanos) {
        Crash crash = crashAt(server, nowNanos);
        if (broke && nowNanos - crash.firstNanos() < CRASH_WINDOW_NANOS) {
            crash.addBreak();
        }
        suspect(crash, run);
    }

    private void suspect(Crash crash, RequestContent run) {
        Set<PartId> parts = new HashSet<>(run.parts());
        parts.removeIf(part -> wasAnsweredAfter(part, crash.firstNanos()));
        crash.suspect(new RequestContent(run.fingerprint(), parts));
        suspectedParts.addAll(parts);
    }

    private boolean wasAnsweredAfter(PartId part, long nanos) {
        Long answered = answeredNanos.get(part);
        return answered != null && answered > nanos;
    }

    private Crash crashAt(ServerStart server, long nowNanos) {
        return crashes.stream()
                .filter(crash -> crash.server().equals(server))
                .filter(crash -> belongs(crash, nowNanos))
                .findFirst()
                .orElseGet(() -> addCrash(server, nowNanos));
    }

    /** Returns whether a run that breaks now belongs to a crash: a start crashes only once. */
    private static boolean belongs(Crash crash, long nowNanos) {
        long sinceNanos = nowNanos - crash.firstNanos();
        boolean sameStart = crash.server().startMillis() != 0 && crash.isCounted();
        return sinceNanos < (sameStart ? LOSS_WINDOW_NANOS : CRASH_WINDOW_NANOS);
    }

    private Crash addCrash(ServerStart server, long firstNanos) {
        if (crashes.size() >= MAX_CRASHES) {
            crashes.removeFirst();
        }
        Crash crash = new Crash(server, firstNanos);
        crashes.add(crash);
        return crash;
    }

    /**
     * Records that a server is gone or restarted.
     *
     * @return the crash that this confirms; empty if no run broke there recently
     */
    Optional<Crash> confirmCrash(ServerId server, long nowNanos) {
        Optional<Crash> last =
                crashes.stream()
                        .filter(crash -> crash.server().id().equals(server) && !crash.isConfirmed())
                        .filter(crash -> nowNanos - crash.firstNanos() < LOSS_WINDOW_NANOS)
                        .max(Comparator.comparingLong(Crash::firstNanos));
        boolean wasCounted = last.map(Crash::isCounted).orElse(true);
        last.ifPresent(Crash::confirm);
        return wasCounted ? Optional.empty() : last;
    }

    /**
     * Counts crashes whose server lost all of its runs at once, and drops those of servers that
     * lived on.
     *
     * @param hasOlderRuns whether a run that began before a crash is still under way at its server
     * @return the crashes counted now
     */
    List<Crash> countSilentServers(Predicate<Crash> hasOlderRuns, long nowNanos) {
        List<Crash> found = new ArrayList<>();
        for (Crash crash : crashes) {
            if (!crash.isCounted() && isSilent(crash, nowNanos) && !hasOlderRuns.test(crash)) {
                crash.count();
                found.add(crash);
            }
        }
        if (crashes.removeIf(crash -> isOver(crash, nowNanos))) {
            findSuspectedParts();
        }
        return found;
    }

    private static boolean isSilent(Crash crash, long nowNanos) {
        long ageNanos = nowNanos - crash.firstNanos();
        return switch (crash.runs()) {
            case 0 -> false;
            case 1 -> ageNanos >= SILENCE_NANOS;
            default -> ageNanos >= BREAK_WINDOW_NANOS;
        };
    }

    /** Returns whether a crash tells nothing any more, or a single broken run was no crash. */
    private static boolean isOver(Crash crash, long nowNanos) {
        boolean isCertain = crash.isConfirmed() || (crash.isCounted() && crash.runs() > 1);
        return nowNanos - crash.firstNanos()
                        > (isCertain ? CRASH_RETENTION_NANOS : LOSS_WINDOW_NANOS)
                || crash.partsByContent().isEmpty();
    }

    /**
     * Records that a server wrote on a run; it did not crash after it got it, nor just before.
     *
     * @param sentNanos when the run was sent to it
     */
    void serverWrote(ServerStart server, long sentNanos, long nowNanos) {
        boolean removed =
                crashes.removeIf(
                        crash ->
                                crash.server().equals(server)
                                        && !crash.isConfirmed()
                                        && (!crash.isCounted() || sentNanos < crash.firstNanos())
                                        && nowNanos - crash.firstNanos() > REPORT_DELAY_NANOS);
        if (removed) {
            findSuspectedParts();
        }
    }

    /**
     * Records that a server answered a request or wrote for long on it, and so clears its parts of
     * earlier crashes.
     *
     * @param beganNanos when the answer began
     * @return the parts that were suspected until now
     */
    List<PartId> addAnswer(Set<PartId> parts, long beganNanos) {
        List<PartId> cleared = new ArrayList<>();
        for (PartId part : parts) {
            answeredNanos.merge(part, beganNanos, Math::max);
            if (suspectedParts.contains(part) && clear(part, beganNanos)) {
                cleared.add(part);
            }
        }
        if (!cleared.isEmpty()) {
            findSuspectedParts();
        }
        return cleared;
    }

    private boolean clear(PartId part, long beganNanos) {
        boolean cleared = false;
        for (Crash crash : crashes) {
            if (crash.firstNanos() < beganNanos) {
                crash.clear(part);
                cleared = true;
            }
        }
        return cleared;
    }

    /** Records that a whole content was answered, and so clears it of earlier crashes. */
    void addAnswer(long content, long beganNanos) {
        crashes.stream()
                .filter(crash -> crash.firstNanos() < beganNanos)
                .forEach(crash -> crash.clear(content));
    }

    private void findSuspectedParts() {
        suspectedParts.clear();
        crashes.forEach(crash -> crash.partsByContent().values().forEach(suspectedParts::addAll));
    }

    /** Returns whether a part is to blame for a crash as far as is known. */
    boolean isSuspected(PartId part) {
        return suspectedParts.contains(part);
    }

    /** Returns whether a part was answered at some time. */
    boolean wasAnswered(PartId part) {
        return answeredNanos.containsKey(part);
    }

    /** Returns the counted crashes in order of time. */
    List<Crash> counted() {
        return crashes.stream()
                .filter(Crash::isCounted)
                .sorted(Comparator.comparingLong(Crash::firstNanos))
                .toList();
    }

    /** Adds a crash that another host saw; runs that are known already are not added again. */
    void merge(CrashReport.Seen seen, long nowNanos) {
        long firstNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(seen.ageMillis());
        Crash crash =
                crashes.stream()
                        .filter(known -> known.server().equals(seen.server()))
                        .filter(
                                known ->
                                        Math.abs(known.firstNanos() - firstNanos)
                                                < LOSS_WINDOW_NANOS)
                        .findFirst()
                        .orElseGet(() -> addCrash(seen.server(), firstNanos));
        crash.confirm();
        seen.runs().forEach(run -> suspect(crash, run));
    }
}
