package org.orioleshed.dispatch;

/** The cold state of one start of a server, and the requests that it was sent lately. */
final class ColdServer {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** The longest time that a statement holds; a longer one is taken for this. */
    private static final long MAX_LEFT_MILLIS = 600_000;

    /** The state is kept this long after its end, so that an older statement can't revive it. */
    private static final long RETENTION_NANOS = 60_000 * NANOS_PER_MILLI;

    private final long startMillis;
    private final SendWindow sends = new SendWindow();
    private boolean stated;
    private boolean cold;
    private long statedNanos;
    private long untilNanos;
    private long sinceNanos;
    private TokenBucket bucket;
    private Allotment allotment = Allotment.NOTHING;

    /**
     * What a scheduler may send to a cold server.
     *
     * @param perSecond the pace, in requests per second
     * @param inAnySecond the most requests in any second; 0 if it may send nothing
     */
    record Allotment(double perSecond, int inAnySecond) {
        /** Nothing may be sent. */
        static final Allotment NOTHING = new Allotment(0, 0);
    }

    ColdServer(long startMillis) {
        this.startMillis = startMillis;
    }

    long startMillis() {
        return startMillis;
    }

    /**
     * Takes a statement, unless a later one was taken.
     *
     * @return whether the server became cold
     */
    boolean state(long leftMillis, long newStatedNanos, long nowNanos) {
        if (stated && newStatedNanos - statedNanos < 0) {
            return false;
        }
        stated = true;
        statedNanos = newStatedNanos;
        untilNanos = newStatedNanos + Math.clamp(leftMillis, 0, MAX_LEFT_MILLIS) * NANOS_PER_MILLI;
        boolean begins = !cold && isCold(nowNanos);
        if (begins) {
            cold = true;
            bucket = null;
            sinceNanos = nowNanos;
        }
        return begins;
    }

    /** Returns whether the server is cold now. */
    boolean isCold(long nowNanos) {
        return stated && untilNanos - nowNanos > 0;
    }

    /** Returns how much longer the server is cold, in milliseconds. */
    long leftMillis(long nowNanos) {
        return Math.max(0, (untilNanos - nowNanos) / NANOS_PER_MILLI);
    }

    /** Ends the state if its time is over; returns whether it ended now. */
    boolean endIfOver(long nowNanos) {
        boolean ends = cold && !isCold(nowNanos);
        cold &= !ends;
        return ends;
    }

    /** Returns whether nothing of this server needs to be kept. */
    boolean isObsolete(long nowNanos) {
        boolean over = !stated || nowNanos - untilNanos > RETENTION_NANOS;
        return over && sends.count(nowNanos) == 0;
    }

    /** Returns whether a request may be sent now to the cold server. */
    boolean admits(Allotment allowed, long nowNanos) {
        setAllotment(allowed, nowNanos);
        return allowed.inAnySecond() > sends.count(nowNanos) && bucket.holds(1, nowNanos);
    }

    /** Counts a request that was sent while the server is not cold. */
    void recordSent(long nowNanos) {
        sends.add(nowNanos);
    }

    /** Counts a request that was sent to the cold server, even beyond the allotment. */
    void recordSentCold(Allotment allowed, long nowNanos) {
        sends.add(nowNanos);
        setAllotment(allowed, nowNanos);
        if (bucket != null) {
            bucket.charge(1, nowNanos);
        }
    }

    /** The bucket has a burst of one request, and is empty when the server becomes cold. */
    private void setAllotment(Allotment allowed, long nowNanos) {
        if (allowed.perSecond() <= 0) {
            return;
        }
        if (bucket == null) {
            bucket = new TokenBucket(allowed.perSecond(), 1, 0, sinceNanos);
        } else if (!allowed.equals(allotment)) {
            bucket.setLimit(allowed.perSecond(), 1, nowNanos);
        }
        allotment = allowed;
    }
}
