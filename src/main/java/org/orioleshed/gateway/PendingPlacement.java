package org.orioleshed.gateway;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.orioleshed.dispatch.DispatchAction;
import org.orioleshed.dispatch.PlacementRequest;

/**
 * A placement that is not decided yet. It may be requested at the primary and at the fallback
 * scheduler at once: while the primary is silent, the first grant of either counts.
 */
final class PendingPlacement {
    /**
     * The part of the time left until its caller's deadline in which a refused request waits for
     * the primary; the rest is for the final answer, also on a host that is late.
     */
    private static final double MAX_WAIT_FRACTION = 0.5;

    final PlacementRequest request;
    final Dispatcher.PlacementListener listener;
    private final long sinceNanos;

    /** When it was last requested at the primary, or a request there was attempted. */
    long requestedNanos;

    /** Whether it was requested at the primary, which may still decide it. */
    boolean atPrimary;

    /** Whether the primary has queued it. */
    boolean queued;

    /** Whether it was requested at the fallback scheduler, which has not refused it. */
    boolean atFallback;

    /** Whether an earlier primary had queued it, and so charged its workspace's quota. */
    private boolean chargedBefore;

    private Optional<DispatchAction.Refuse> refusal = Optional.empty();
    private long refusedNanos;

    PendingPlacement(
            PlacementRequest request, Dispatcher.PlacementListener listener, long sinceNanos) {
        this.request = request;
        this.listener = listener;
        this.sinceNanos = sinceNanos;
    }

    PlacementRequest agedRequest(long nowNanos) {
        return request.aged(TimeUnit.NANOSECONDS.toMillis(nowNanos - sinceNanos));
    }

    /**
     * Returns the request to the current primary, without a quota if an earlier primary has charged
     * it.
     */
    PlacementRequest requestToPrimary(long nowNanos) {
        PlacementRequest aged = agedRequest(nowNanos);
        return chargedBefore ? aged.withoutQuota() : aged;
    }

    /** Returns the request to the fallback, without a quota if a primary has charged it. */
    PlacementRequest requestToFallback(long nowNanos) {
        return queued ? agedRequest(nowNanos).withoutQuota() : requestToPrimary(nowNanos);
    }

    /** Records that it is requested again, at a primary that knows nothing of it. */
    void restart(long nowNanos) {
        requestedNanos = nowNanos;
        chargedBefore |= queued;
        queued = false;
        refusal = Optional.empty();
    }

    /** Records that the primary has queued it, which outweighs a refusal by the fallback. */
    void queuedByPrimary() {
        queued = true;
        refusal = Optional.empty();
    }

    /** Records a refusal by the fallback, which stands only if the primary stays silent. */
    void refusedByFallback(DispatchAction.Refuse newRefusal, long nowNanos) {
        refusal = Optional.of(newRefusal);
        refusedNanos = nowNanos;
    }

    /** Returns whether only the primary has yet to decide it. */
    boolean isAtPrimaryOnly() {
        return atPrimary && !atFallback && refusal.isEmpty();
    }

    /** Returns whether its caller still waits for long enough for the primary to decide. */
    boolean mayAwaitPrimary(long nowNanos) {
        long waitedNanos = nowNanos - sinceNanos;
        long deadlineNanos = TimeUnit.MILLISECONDS.toNanos(request.deadlineLeftMillis());
        return waitedNanos < MAX_WAIT_FRACTION * deadlineNanos;
    }

    /**
     * Returns the fallback's refusal if the primary has had this time to decide otherwise, or the
     * caller would not wait for its decision.
     */
    Optional<DispatchAction.Refuse> refusalAfter(long waitNanos, long nowNanos) {
        return refusal.filter(
                unused -> nowNanos - refusedNanos >= waitNanos || !mayAwaitPrimary(nowNanos));
    }
}
