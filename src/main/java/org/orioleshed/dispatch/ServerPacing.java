package org.orioleshed.dispatch;

import java.util.function.Consumer;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.dispatch.AdaptiveConcurrencyLimit.Change;
import org.orioleshed.dispatch.AdaptiveConcurrencyLimit.Event;
import org.orioleshed.dispatch.AdaptiveConcurrencyLimit.Timing;

/** Applies an {@link AdaptiveConcurrencyLimit} to one start of a server, and logs its changes. */
final class ServerPacing {
    /** A response within this many times the time that the server's speed explains is timely. */
    private static final double TIMELY_FACTOR = PoolState.SLOW_RUN_FACTOR;

    private final AdaptiveConcurrencyLimit limit = new AdaptiveConcurrencyLimit();
    private final boolean active;
    private final Consumer<String> log;

    /** Creates the pacing of a server that is not paced yet. */
    ServerPacing(boolean active, Consumer<String> log) {
        this.active = active;
        this.log = log;
    }

    /** Returns whether servers are paced at all. */
    boolean isActive() {
        return active;
    }

    boolean isPaced() {
        return limit.isPaced();
    }

    /** Returns the largest number of requests in flight. */
    int limit() {
        return limit.limit();
    }

    /** Returns whether the next trial request is not due yet. */
    boolean isPausing(long nowNanos) {
        return limit.isPausing(nowNanos);
    }

    /** Records that the server started a short time ago. */
    void recordStart(PoolServer server, long nowNanos) {
        apply(server, new Event.Started(), "started", nowNanos);
    }

    /** Takes over what an earlier start of the same server showed. */
    void inherit(ServerPacing earlier) {
        limit.inherit(earlier.limit);
    }

    /**
     * Records the first response on a run.
     *
     * @param millis the time of the response since the run was sent, in milliseconds
     * @param explainedMillis the time that the server's own speed explains, in milliseconds
     * @return whether the server was suspected of a fault and had only paused
     */
    boolean recordFirst(
            PoolServer server, ActiveRun run, double millis, double explainedMillis, long now) {
        boolean timely = millis <= TIMELY_FACTOR * explainedMillis;
        boolean late = !timely && millis > run.request().targetLeftMillis();
        Timing timing = timely ? Timing.TIMELY : late ? Timing.LATE : Timing.NEUTRAL;
        return apply(server, new Event.Responded(run.sentNanos(), timing), "late", now)
                == Change.SUSPICION_ENDED;
    }

    /**
     * Records the answer on a run whose first event was recorded.
     *
     * @return whether the server was suspected of a fault and had only paused
     */
    boolean recordLaterAnswer(PoolServer server, ActiveRun run, long now) {
        Event event = new Event.Responded(run.sentNanos(), Timing.NEUTRAL);
        return apply(server, event, "", now) == Change.SUSPICION_ENDED;
    }

    /** Records the end of a run that was not answered. */
    void recordUnanswered(
            PoolServer server, ActiveRun run, RunReport.Outcome outcome, long nowNanos) {
        switch (outcome) {
            case UNREACHABLE, BROKEN, TIMED_OUT -> {
                boolean silent = outcome == RunReport.Outcome.TIMED_OUT;
                Event event = new Event.Unavailable(run.sentNanos(), silent);
                apply(server, event, outcome.name(), nowNanos);
            }
            case FAILED, REJECTED ->
                    apply(server, new Event.Failed(run.sentNanos()), outcome.name(), nowNanos);
            case ANSWERED, MISDIRECTED, CANCELLED -> {}
        }
    }

    private Change apply(PoolServer server, Event event, String cause, long nowNanos) {
        if (!active) {
            return Change.NONE;
        }
        Change change = limit.on(nowNanos, event, server.slots());
        switch (change) {
            case NONE -> {}
            case BEGUN -> log(server, "pacing_begun", " cause=" + cause);
            case DECREASED ->
                    log(server, "pacing_decreased", " cause=" + cause + " window=" + limit.limit());
            case ENDED -> log(server, "pacing_ended", " cause=full_use");
            case SUSPICION_ENDED -> log(server, "pacing_ended", " cause=was_silent");
        }
        return change;
    }

    private void log(PoolServer server, String event, String details) {
        log.accept(
                "event=%s server=%s start_ms=%d slots=%d%s"
                        .formatted(
                                event, server.id(), server.startMillis(), server.slots(), details));
    }
}
