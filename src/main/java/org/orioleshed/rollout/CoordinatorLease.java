package org.orioleshed.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.orioleshed.model.Payload;
import org.orioleshed.model.RolloutId;

/**
 * The lease that makes a host the coordinator of one rollout. Its validity is measured on the
 * monotonic clock from the time of the request, so that a holder that was paused detects the expiry
 * before it acts.
 */
final class CoordinatorLease {
    /** Key prefix of coordinator leases in the store. */
    static final String KEY_PREFIX = "orioleshed/leases/mover-";

    private static final int KEEP_ALIVES_PER_LEASE = 3;

    private final String key;
    private final Payload holder;
    private final RolloutLimits limits;
    private final LongSupplier tickets;
    private State state = new Idle(Long.MIN_VALUE);

    private sealed interface State {}

    /** Not the coordinator. */
    private record Idle(long retryNanos) implements State {}

    /** A lease was requested. */
    private record Granting(long ticket, long requestedNanos) implements State {}

    /** The lease was granted; its key is being written. */
    private record Acquiring(long ticket, long leaseId, long requestedNanos, long validUntilNanos)
            implements State {}

    /** The coordinator. */
    private record Held(
            long leaseId,
            long fence,
            long sinceNanos,
            long validUntilNanos,
            long keepAliveTicket,
            long keepAliveNanos)
            implements State {}

    CoordinatorLease(
            RolloutId rollout, Payload holder, RolloutLimits limits, LongSupplier tickets) {
        this.key = KEY_PREFIX + rollout;
        this.holder = holder;
        this.limits = limits;
        this.tickets = tickets;
    }

    /** Returns whether the lease is held. Checked before each order. */
    boolean isHeld(long nowNanos) {
        return state instanceof Held held && nowNanos < held.validUntilNanos;
    }

    /** Returns the fencing number; zero when the lease is not held. */
    long fence(long nowNanos) {
        return state instanceof Held held && nowNanos < held.validUntilNanos ? held.fence : 0;
    }

    /** Returns the time from which the lease is held. */
    long sinceNanos() {
        return state instanceof Held held ? held.sinceNanos : Long.MAX_VALUE;
    }

    /**
     * Advances timers: requests the lease, keeps it alive and handles timeouts.
     *
     * @param wanted whether the host should become the coordinator if it is not
     */
    List<RolloutAction> tick(long nowNanos, boolean wanted) {
        List<RolloutAction> actions = new ArrayList<>();
        switch (state) {
            case Idle idle -> {
                if (wanted && nowNanos >= idle.retryNanos) {
                    long ticket = tickets.getAsLong();
                    state = new Granting(ticket, nowNanos);
                    actions.add(new RolloutAction.GrantLease(ticket, limits.leaseMillis()));
                }
            }
            case Granting granting -> {
                if (nowNanos - granting.requestedNanos >= answerTimeoutNanos()) {
                    backOff(nowNanos);
                }
            }
            case Acquiring acquiring -> {
                if (nowNanos - acquiring.requestedNanos >= 2 * answerTimeoutNanos()) {
                    backOff(nowNanos);
                }
            }
            case Held held -> tickHeld(nowNanos, held, actions);
        }
        return actions;
    }

    private void tickHeld(long nowNanos, Held held, List<RolloutAction> actions) {
        if (nowNanos >= held.validUntilNanos) {
            state = new Idle(nowNanos);
            return;
        }
        long keepAliveIntervalNanos = nanos(limits.leaseMillis()) / KEEP_ALIVES_PER_LEASE;
        if (nowNanos - held.keepAliveNanos < keepAliveIntervalNanos) {
            return;
        }
        long ticket = tickets.getAsLong();
        state =
                new Held(
                        held.leaseId,
                        held.fence,
                        held.sinceNanos,
                        held.validUntilNanos,
                        ticket,
                        nowNanos);
        actions.add(new RolloutAction.KeepLease(ticket, held.leaseId));
    }

    /** Handles the store's reply to a grant or keep-alive. */
    List<RolloutAction> onLease(long nowNanos, RolloutEvent.LeaseResult result) {
        if (state instanceof Granting granting && granting.ticket == result.ticket()) {
            return onGranted(nowNanos, granting, result.answer());
        }
        if (state instanceof Held held && held.keepAliveTicket == result.ticket()) {
            onKeepAlive(nowNanos, held, result.answer());
        }
        return List.of();
    }

    private List<RolloutAction> onGranted(
            long nowNanos, Granting granting, RolloutEvent.LeaseAnswer answer) {
        if (!(answer instanceof RolloutEvent.LeaseAnswer.Held lease)) {
            backOff(nowNanos);
            return List.of();
        }
        long ticket = tickets.getAsLong();
        long validUntil = validUntil(granting.requestedNanos, lease.ttlMillis());
        state = new Acquiring(ticket, lease.leaseId(), granting.requestedNanos, validUntil);
        return List.of(
                new RolloutAction.SwapRecord(
                        ticket, key, 0, holder, lease.leaseId(), limits.storeTimeoutMillis()));
    }

    private void onKeepAlive(long nowNanos, Held held, RolloutEvent.LeaseAnswer answer) {
        switch (answer) {
            case RolloutEvent.LeaseAnswer.Held lease ->
                    state =
                            new Held(
                                    held.leaseId,
                                    held.fence,
                                    held.sinceNanos,
                                    Math.max(
                                            held.validUntilNanos,
                                            validUntil(held.keepAliveNanos, lease.ttlMillis())),
                                    0,
                                    held.keepAliveNanos);
            case RolloutEvent.LeaseAnswer.Lost lost -> backOff(nowNanos);
            case RolloutEvent.LeaseAnswer.Unavailable unavailable -> {}
        }
    }

    /** Handles the store's reply to the write of the lease's key. */
    void onSwap(long nowNanos, RolloutEvent.SwapResult result) {
        if (!(state instanceof Acquiring acquiring) || acquiring.ticket != result.ticket()) {
            return;
        }
        if (result.answer() instanceof RolloutEvent.SwapAnswer.Swapped swapped
                && nowNanos < acquiring.validUntilNanos) {
            state =
                    new Held(
                            acquiring.leaseId,
                            swapped.revision(),
                            nowNanos,
                            acquiring.validUntilNanos,
                            0,
                            acquiring.requestedNanos);
            return;
        }
        // A key that was written although the reply was lost expires with its lease.
        backOff(nowNanos);
    }

    private void backOff(long nowNanos) {
        state = new Idle(nowNanos + nanos(limits.leaseMillis()) / KEEP_ALIVES_PER_LEASE);
    }

    private long validUntil(long requestedNanos, long ttlMillis) {
        return requestedNanos + nanos(ttlMillis - limits.leaseMarginMillis());
    }

    private long answerTimeoutNanos() {
        return 2 * nanos(limits.storeTimeoutMillis());
    }

    private static long nanos(long millis) {
        return millis * RolloutCore.NANOS_PER_MILLI;
    }
}
