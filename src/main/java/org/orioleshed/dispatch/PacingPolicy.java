package org.orioleshed.dispatch;

/**
 * Whether servers that have just started or recovered are paced by an {@link
 * AdaptiveConcurrencyLimit}, as the deployment states it.
 *
 * @param active whether they are; otherwise servers with faults get no requests for a fixed backoff
 * @param recentStartMillis a server that started less than this ago is paced from its first
 *     request, in milliseconds; not negative
 */
public record PacingPolicy(boolean active, long recentStartMillis) {
    /** Servers are not paced. */
    public static final PacingPolicy OFF = new PacingPolicy(false, 0);

    /** Checks the arguments. */
    public PacingPolicy {
        if (recentStartMillis < 0) {
            throw new IllegalArgumentException(
                    "recentStartMillis must not be negative, found " + recentStartMillis);
        }
    }
}
