package org.orioleshed.dispatch;

import java.util.function.Consumer;
import org.orioleshed.dispatch.DispatchAction.Reason;
import org.orioleshed.quarantine.CrashReport;

/** Refuses requests, each with the time after which its caller is to retry. */
final class Refusals {
    /** The retry time when a pool has no server; a server may register within this time. */
    private static final long NO_SERVER_RETRY_MILLIS = 700;

    private final Quotas quotas;
    private final Consumer<DispatchAction> actions;

    Refusals(Quotas quotas, Consumer<DispatchAction> actions) {
        this.quotas = quotas;
        this.actions = actions;
    }

    /** Refuses a request that exceeds a quota. */
    void refuseQuota(RunKey run, PlacementRequest request) {
        refuse(run, request, Reason.QUOTA, (double) quotas.millisUntil(request));
    }

    /** Refuses a request for which the pool has no server. */
    void refuseNoServer(RunKey run, PlacementRequest request) {
        refuse(run, request, Reason.NO_SERVER, (double) NO_SERVER_RETRY_MILLIS);
    }

    /** Refuses a request that cannot be served in time, and reserves capacity for its retry. */
    void refuseOverload(RunKey run, PlacementRequest request, AdmissionRule admission) {
        refuse(run, request, Reason.OVERLOAD, admission.reserveRetryMillis(request));
    }

    /** Refuses a request whose content is quarantined. */
    void refuseHeld(RunKey run, PlacementRequest request, CrashReport.Held held) {
        actions.accept(
                new DispatchAction.Note(
                        "event=held run=%s suspect=%s crashes=%d age_ms=%d left_ms=%d"
                                .formatted(
                                        run,
                                        held.suspect(),
                                        held.crashes(),
                                        held.ageMillis(),
                                        held.leftMillis())));
        refuse(run, request, Reason.HELD, (double) held.leftMillis());
    }

    private void refuse(
            RunKey run, PlacementRequest request, Reason reason, double expectedMillis) {
        long retryAfterMillis = AdmissionRule.retryAfterMillis(request, expectedMillis);
        actions.accept(new DispatchAction.Refuse(run, reason, retryAfterMillis));
    }

    /**
     * Removes a request that is to be refused from its queue and refunds its quota.
     *
     * @return the request with the time left that it has now
     */
    PlacementRequest removeQueued(PoolState pool, QueuedRequest queued, long nowNanos) {
        pool.queue().remove(queued.run());
        quotas.refund(queued.request(), nowNanos);
        return queued.request().aged(queued.waitedMillis(nowNanos));
    }
}
