package org.orioleshed.gateway;

import java.util.concurrent.TimeUnit;

/**
 * Decides which requests a stopping host still accepts, and when it ends. While the balancer may
 * still route callers here, all requests are accepted. Later, a request is accepted only if its own
 * time limit ends before the host stops serving.
 */
final class ShutdownPolicy {
    /** The balancer checks readiness once a second and stops routing after two failed checks. */
    private static final long BALANCER_DELAY_MILLIS = 2_400;

    /** The maximum fraction of the grace period in which all requests are accepted. */
    private static final double MAX_BALANCER_PART = 0.5;

    /** The end of the grace period is reserved for final responses and the exit of the process. */
    private static final long MAX_FINAL_MILLIS = 700;

    private static final double FINAL_PART = 0.1;

    private final long balancerMillis;
    private final long serviceMillis;
    private final long finalMillis;
    private boolean begun;
    private long stopNanos;

    /**
     * Creates the policy of a host that is not stopping.
     *
     * @param graceMillis the time from the stop signal until the process is killed, in
     *     milliseconds; positive
     */
    ShutdownPolicy(long graceMillis) {
        long reservedMillis = Math.min(MAX_FINAL_MILLIS, (long) (graceMillis * FINAL_PART));
        this.balancerMillis =
                Math.min(BALANCER_DELAY_MILLIS, (long) (graceMillis * MAX_BALANCER_PART));
        this.serviceMillis = graceMillis - reservedMillis;
        this.finalMillis = graceMillis - reservedMillis / 2;
    }

    /**
     * Starts the shutdown.
     *
     * @param stopNanos when the stop signal arrived, in nanoseconds on the monotonic clock
     */
    void begin(long stopNanos) {
        begun = true;
        this.stopNanos = stopNanos;
    }

    boolean begun() {
        return begun;
    }

    /** Returns the time since the stop signal, in milliseconds; 0 before it. */
    long sinceMillis(long nowNanos) {
        return begun ? TimeUnit.NANOSECONDS.toMillis(nowNanos - stopNanos) : 0;
    }

    /**
     * Returns how long the host still serves, in milliseconds; unlimited before the stop signal.
     */
    long leftMillis(long nowNanos) {
        return begun ? Math.max(0, serviceMillis - sinceMillis(nowNanos)) : Long.MAX_VALUE;
    }

    /** Returns whether the balancer may still route new connections here. */
    boolean balancerMayRoute(long nowNanos) {
        return sinceMillis(nowNanos) < balancerMillis;
    }

    /**
     * Returns whether a request that is at no server is accepted, or continues to wait.
     *
     * @param limitMillis the time within which it gets its final response, in milliseconds
     */
    boolean accepts(long limitMillis, long nowNanos) {
        return balancerMayRoute(nowNanos) || limitMillis <= leftMillis(nowNanos);
    }

    /** Returns whether all remaining requests must end now. */
    boolean mustEndAll(long nowNanos) {
        return leftMillis(nowNanos) == 0;
    }

    /** Returns whether to stop waiting for final responses that are not yet written. */
    boolean isFinalDeadline(long nowNanos) {
        return begun && sinceMillis(nowNanos) >= finalMillis;
    }
}
