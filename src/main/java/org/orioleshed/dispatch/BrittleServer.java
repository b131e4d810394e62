package org.orioleshed.dispatch;

/**
 * What one start of a brittle server may be sent: it crashes when it rejects more requests in a
 * second than it stated.
 */
final class BrittleServer {
    /** Sending stops at this part of the stated rejections, as others may be under way. */
    private static final double STOP_FRACTION = 0.5;

    private final long startMillis;
    private final SendWindow rejections = new SendWindow();
    private double statedPerSecond;
    private long statedNanos;
    private int window;

    /**
     * Makes the state of a server that just stated it.
     *
     * @param perSecond the rejections per second above which the server crashes
     * @param window the most requests in flight at first
     */
    BrittleServer(long startMillis, double perSecond, int window, long nowNanos) {
        this.startMillis = startMillis;
        this.window = window;
        state(perSecond, nowNanos);
    }

    long startMillis() {
        return startMillis;
    }

    double statedPerSecond() {
        return statedPerSecond;
    }

    /** Returns when the server last stated that it is brittle, on the monotonic clock. */
    long statedNanos() {
        return statedNanos;
    }

    /** Records that the server stated again that it is brittle. */
    void state(double perSecond, long nowNanos) {
        statedPerSecond = perSecond;
        statedNanos = nowNanos;
    }

    /** Returns the most requests in flight, beside the server's slots. */
    int window() {
        return window;
    }

    /**
     * Returns whether a request may be sent now. After a rejection, each run whose response is
     * outstanding may be rejected too.
     *
     * @param running the number of runs in flight
     * @param unanswered the number of these that wait for their response
     */
    boolean admits(int running, long unanswered, long nowNanos) {
        int rejected = rejections.count(nowNanos);
        double limit = Math.max(1, STOP_FRACTION * statedPerSecond);
        return running < window && (rejected == 0 || rejected + unanswered < limit);
    }

    /**
     * Records a rejection: the runs that remain are what the server has room for. Without this,
     * each second without rejections would end in a burst on all slots.
     */
    void recordRejection(int remaining, long nowNanos) {
        rejections.add(nowNanos);
        window = Math.min(window, Math.max(1, remaining));
    }

    /** Records an answer; the window grows unless the server rejected a request lately. */
    void recordAnswer(long nowNanos) {
        if (window < Integer.MAX_VALUE && rejections.count(nowNanos) == 0) {
            window++;
        }
    }

    /** Records a crash; returns whether the window was larger than one request. */
    boolean recordCrash() {
        boolean shrinks = window > 1;
        window = 1;
        return shrinks;
    }
}
