package org.orioleshed.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.orioleshed.model.ServerId;
import org.orioleshed.quarantine.CrashReport;
import org.orioleshed.quarantine.CrashTracker;
import org.orioleshed.quarantine.RequestContent;
import org.orioleshed.quarantine.ServerStart;
import org.orioleshed.quarantine.Suspect;

/** Tells the crash tracker of the runs of a scheduler, and the hosts of what it quarantines. */
final class QuarantineControl {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final CrashTracker tracker;
    private final Consumer<DispatchAction> actions;

    /**
     * Creates a control without evidence.
     *
     * @param isPrimary whether its scheduler decides for all hosts
     * @param actions receives announcements and lines for the log
     */
    QuarantineControl(boolean isPrimary, Consumer<DispatchAction> actions) {
        this.tracker =
                new CrashTracker(isPrimary, line -> actions.accept(new DispatchAction.Note(line)));
        this.actions = actions;
    }

    static ServerStart startOf(ServerState server) {
        return new ServerStart(server.server().id(), server.server().startMillis());
    }

    /** Records that a server wrote on a run, if that is known. */
    void runWrote(ServerState server, ActiveRun run, long nowNanos) {
        if (run != null) {
            tracker.serverWrote(startOf(server), run.sentNanos(), nowNanos);
        }
    }

    /** Records that a server has written on a run for longer than on one that crashes it. */
    void runSurvived(ActiveRun run, long nowNanos) {
        long beganNanos = nowNanos - CrashTracker.SURVIVAL_MILLIS * NANOS_PER_MILLI;
        tracker.runSurvived(run.request().content(), beganNanos);
    }

    /** Records the end of a run, if that is known. */
    void runEnded(ServerState server, ActiveRun run, RunReport report, long nowNanos) {
        if (run == null) {
            return;
        }
        RequestContent content = run.request().content();
        long streamedMillis = report.streamedMillis();
        if (streamedMillis >= CrashTracker.SURVIVAL_MILLIS) {
            tracker.runSurvived(content, nowNanos - streamedMillis * NANOS_PER_MILLI);
        }
        switch (report.outcome()) {
            case BROKEN -> tracker.runBroke(startOf(server), content, streamedMillis, nowNanos);
            case TIMED_OUT ->
                    tracker.serverSilent(startOf(server), content, streamedMillis, nowNanos);
            case UNREACHABLE -> tracker.serverLost(server.server().id(), nowNanos);
            case ANSWERED -> {
                runWrote(server, run, nowNanos);
                runAnswered(run, report, nowNanos);
            }
            case CANCELLED, FAILED, REJECTED, MISDIRECTED -> {}
        }
    }

    /** Clears the content of an answered run; an engine answers with events. */
    private void runAnswered(ActiveRun run, RunReport report, long nowNanos) {
        RequestContent content = run.request().content();
        boolean engine = run.request().promptTokens() > 0;
        if (!engine) {
            tracker.runAnswered(content, run.sentNanos());
        } else if (report.events() > 0) {
            long answerMillis = report.totalMillis() - report.firstMillis();
            tracker.runAnswered(content, nowNanos - answerMillis * NANOS_PER_MILLI);
        }
    }

    /** Records that a server is gone or restarted. */
    void serverLost(ServerId server, long nowNanos) {
        tracker.serverLost(server, nowNanos);
    }

    /** Records that a request is placed. */
    void placed(RequestContent content, long nowNanos) {
        tracker.placed(content, nowNanos);
    }

    /** Returns what keeps a content from running now; empty if it may run. */
    Optional<CrashReport.Held> holding(RequestContent content, long nowNanos) {
        return tracker.holding(content, nowNanos);
    }

    /** Returns whether the end of a run with this content tells anything about a recent crash. */
    boolean isSuspected(RequestContent content) {
        return tracker.isSuspected(content);
    }

    void setDecides(boolean decides) {
        tracker.setDecides(decides);
    }

    /** Weighs the evidence; returns whether what may run changed. */
    boolean tick(CrashTracker.OlderRuns hasOlderRuns, long nowNanos) {
        tracker.tick(hasOlderRuns, nowNanos);
        return announce();
    }

    /** Takes a host's report, and tells that host what is quarantined. */
    void apply(DispatchEvent.CrashesReported reported, long nowNanos) {
        tracker.merge(reported.report(), nowNanos);
        List<CrashReport.Held> held = tracker.held(nowNanos);
        if (!held.isEmpty()) {
            actions.accept(
                    new DispatchAction.QuarantineChanged(
                            Optional.of(reported.host()), held, List.of()));
        }
        announce();
    }

    /** Takes what the primary, which told all hosts, quarantined or released. */
    void apply(DispatchEvent.QuarantineAnnounced announced, long nowNanos) {
        tracker.merge(new CrashReport(List.of(), announced.held()), nowNanos);
        announced.released().forEach(it -> tracker.release(it, "announced", nowNanos));
        var unusedHeld = tracker.takeHeld();
        var unusedReleased = tracker.takeReleased();
    }

    /** Releases a suspect on the order of an operator. */
    void release(Suspect suspect, long nowNanos) {
        tracker.release(suspect, "ordered", nowNanos);
        announce();
    }

    /** Announces what was quarantined or released; returns whether there was anything. */
    private boolean announce() {
        List<CrashReport.Held> held = tracker.takeHeld();
        List<Suspect> released = tracker.takeReleased();
        if (held.isEmpty() && released.isEmpty()) {
            return false;
        }
        actions.accept(new DispatchAction.QuarantineChanged(Optional.empty(), held, released));
        return true;
    }

    /** Returns what another host needs to go on from here. */
    CrashReport report(long nowNanos) {
        return tracker.report(nowNanos);
    }

    /** Returns all that is quarantined. */
    List<CrashReport.Held> held(long nowNanos) {
        return tracker.held(nowNanos);
    }
}
