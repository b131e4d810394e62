package org.orioleshed.gateway;

import java.util.concurrent.TimeUnit;

/**
 * When the servers of a pool sent this host parts of answers. Tells a server that is silent alone
 * from a pool that is silent as a whole: its servers pause, or this host's link to them does.
 */
final class PoolActivity {
    /** A pool that has sent nothing for this long is silent. */
    private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(350);

    private boolean active;
    private long activeNanos;
    private long resumedNanos;

    /** Records that a server sent a part of an answer. */
    void record(long nowNanos) {
        if (isSilent(nowNanos)) {
            resumedNanos = nowNanos;
        }
        active = true;
        activeNanos = nowNanos;
    }

    /** Returns whether no server has sent anything lately. */
    boolean isSilent(long nowNanos) {
        return !active || nowNanos - activeNanos > SILENCE_NANOS;
    }

    /**
     * Returns for how long the pool has not been silent, in milliseconds; 0 while it is. A server
     * that paused with the whole pool need not be the first to go on.
     */
    long activeMillis(long nowNanos) {
        return isSilent(nowNanos) ? 0 : TimeUnit.NANOSECONDS.toMillis(nowNanos - resumedNanos);
    }
}
