package org.orioleshed.request;

/** Allows retries as a share of successes, so that a fault does not multiply the load. */
final class RetryBudget {
    private final double share;
    private final double burst;
    private double saved;

    RetryBudget(double share, int burst) {
        this.share = share;
        this.burst = burst;
        this.saved = burst;
    }

    void onSuccess() {
        saved = Math.min(burst, saved + share);
    }

    /** Returns whether a retry is allowed, and counts it. */
    boolean take() {
        if (saved < 1) {
            return false;
        }
        saved -= 1;
        return true;
    }
}
