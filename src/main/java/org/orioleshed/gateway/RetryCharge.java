package org.orioleshed.gateway;

import org.orioleshed.model.ServiceId;

/** Charges the retries of one request to the budget of its service. */
final class RetryCharge {
    private final GatewayContext context;
    private final ServiceId service;
    private boolean reachedServer;

    RetryCharge(GatewayContext context, ServiceId service) {
        this.context = context;
        this.service = service;
    }

    /** Records the first attempt, which enlarges the budget. */
    void recordFirst() {
        budget().recordAttempt(System.nanoTime());
    }

    /** Records that a server received the request, so that a retry adds to the load of servers. */
    void recordReached() {
        reachedServer = true;
    }

    /** Takes a retry from the budget; returns false if none is left. */
    boolean tryTake() {
        return isFree() || budget().tryTake(context.fixedRetryShare(), System.nanoTime());
    }

    /** Returns whether a retry is left. */
    boolean hasRetry() {
        return isFree() || budget().hasRetry(context.fixedRetryShare(), System.nanoTime());
    }

    private boolean isFree() {
        return !reachedServer && context.forwarding().mustForward(service);
    }

    private RetryBudget budget() {
        return context.retryBudget(service);
    }
}
