package org.orioleshed.trial;

/** A simulated request with its retries. */
final class TrialRequest {
    final long id;
    final RequestKind kind;
    final long arrivalNanos;
    int engine = -1;
    int retries;
    long sentNanos;
    long firstEventNanos;
    boolean completed;

    /** The time of the final refusal or of the departure of the caller; 0 if there was neither. */
    long abandonedNanos;

    TrialRequest(long id, RequestKind kind, long arrivalNanos) {
        this.id = id;
        this.kind = kind;
        this.arrivalNanos = arrivalNanos;
    }

    boolean isEnded() {
        return completed || abandonedNanos > 0;
    }

    long deadlineNanos() {
        return arrivalNanos + kind.deadlineMillis() * SimulatedEngine.NANOS_PER_MILLI;
    }

    long remainingMillis(long nowNanos) {
        return (deadlineNanos() - nowNanos) / SimulatedEngine.NANOS_PER_MILLI;
    }

    long remainingTargetMillis(long nowNanos) {
        long elapsedMillis = (nowNanos - arrivalNanos) / SimulatedEngine.NANOS_PER_MILLI;
        return kind.targetMillis() - elapsedMillis;
    }

    boolean isFirstEventInTime() {
        return firstEventNanos - arrivalNanos
                <= kind.targetMillis() * SimulatedEngine.NANOS_PER_MILLI;
    }
}
