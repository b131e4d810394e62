package org.orioleshed.request;

/** Limits retries to a share of the successes, so that a fault does not multiply the load. */
final class RetryBudget {
    private final double retriesPerSuccess;
    private final double maxRetries;
    private double available;

    RetryBudget(double retriesPerSuccess, int maxRetries) {
        this.retriesPerSuccess = retriesPerSuccess;
        this.maxRetries = maxRetries;
        this.available = maxRetries;
    }

    void onSuccess() {
        available = Math.min(maxRetries, available + retriesPerSuccess);
    }

    /** Returns whether a retry is allowed, and deducts it from the budget. */
    boolean tryAcquire() {
        if (available < 1) {
            return false;
        }
        available -= 1;
        return true;
    }
}
