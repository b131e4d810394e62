package org.orioleshed.trial;

/** One request of a caller, its attempts included. */
final class TrialRequest {
    final long number;
    final RequestKind kind;
    final long cameNanos;
    int engine = -1;
    int attempts;
    long sentNanos;
    long firstNanos;
    boolean done;

    /** When it was refused for good, or its caller left; 0 while neither happened. */
    long gaveUpNanos;

    TrialRequest(long number, RequestKind kind, long cameNanos) {
        this.number = number;
        this.kind = kind;
        this.cameNanos = cameNanos;
    }

    boolean isOver() {
        return done || gaveUpNanos > 0;
    }

    long endNanos() {
        return cameNanos + kind.deadlineMillis() * ModelEngine.NANOS_PER_MILLI;
    }

    long leftMillis(long nowNanos) {
        return (endNanos() - nowNanos) / ModelEngine.NANOS_PER_MILLI;
    }

    long aimLeftMillis(long nowNanos) {
        long sinceMillis = (nowNanos - cameNanos) / ModelEngine.NANOS_PER_MILLI;
        return kind.aimMillis() - sinceMillis;
    }

    boolean isInTime() {
        return firstNanos - cameNanos <= kind.aimMillis() * ModelEngine.NANOS_PER_MILLI;
    }
}
