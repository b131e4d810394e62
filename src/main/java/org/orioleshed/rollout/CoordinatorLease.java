package org.orioleshed.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.orioleshed.model.Payload;
import org.orioleshed.model.RolloutId;

/**
 * The lease that makes a host the coordinator of one rollout. Its time runs on the monotonic clock
 * from the moment it was asked for, so that a holder that was paused finds it ended before it does
 * anything.
 */
final class CoordinatorLease {
    /** The start of the keys that hold coordinators' leases. */
    static final String KEY_PREFIX = "orioleshed/leases/mover-";

    private static final int KEEPS_PER_LEASE = 3;

    private final String key;
    private final Payload holder;
    private final RolloutLimits limits;
    private final LongSupplier tickets;
    private State state = new Idle(Long.MIN_VALUE);

    private sealed interface State {}

    /** Not the coordinator. */
    private record Idle(long retryNanos) implements State {}

    /** A lease was asked for. */
    private record Granting(long ticket, long askedNanos) implements State {}

    /** The lease stands; its key is being written. */
    private record Taking(long ticket, long leaseId, long askedNanos, long validUntilNanos)
            implements State {}

    /** The coordinator. */
    private record Held(
            long leaseId,
            long fence,
            long sinceNanos,
            long validUntilNanos,
            long keepTicket,
            long keepNanos)
            implements State {}

    CoordinatorLease(
            RolloutId rollout, Payload holder, RolloutLimits limits, LongSupplier tickets) {
        this.key = KEY_PREFIX + rollout;
        this.holder = holder;
        this.limits = limits;
        this.tickets = tickets;
    }

    /** Returns whether the lease is held; asked before each order. */
    boolean isHeld(long nowNanos) {
        return state instanceof Held held && nowNanos < held.validUntilNanos;
    }

    /** Returns the fencing number; zero when the lease is not held. */
    long fence(long nowNanos) {
        return state instanceof Held held && nowNanos < held.validUntilNanos ? held.fence : 0;
    }

    /** Returns since when the lease is held. */
    long sinceNanos() {
        return state instanceof Held held ? held.sinceNanos : Long.MAX_VALUE;
    }

    /**
     * Lets time pass.
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
                if (nowNanos - granting.askedNanos >= patienceNanos()) {
                    rest(nowNanos);
                }
            }
            case Taking taking -> {
                if (nowNanos - taking.askedNanos >= 2 * patienceNanos()) {
                    rest(nowNanos);
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
        long betweenNanos = nanos(limits.leaseMillis()) / KEEPS_PER_LEASE;
        if (nowNanos - held.keepNanos < betweenNanos) {
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

    /** Takes the store's word on a lease. */
    List<RolloutAction> onLease(long nowNanos, RolloutEvent.LeaseResult result) {
        if (state instanceof Granting granting && granting.ticket == result.ticket()) {
            return granted(nowNanos, granting, result.answer());
        }
        if (state instanceof Held held && held.keepTicket == result.ticket()) {
            kept(nowNanos, held, result.answer());
        }
        return List.of();
    }

    private List<RolloutAction> granted(
            long nowNanos, Granting granting, RolloutEvent.LeaseAnswer answer) {
        if (!(answer instanceof RolloutEvent.LeaseAnswer.Held lease)) {
            rest(nowNanos);
            return List.of();
        }
        long ticket = tickets.getAsLong();
        long validUntil = validUntil(granting.askedNanos, lease.ttlMillis());
        state = new Taking(ticket, lease.leaseId(), granting.askedNanos, validUntil);
        return List.of(
                new RolloutAction.SwapRecord(
                        ticket, key, 0, holder, lease.leaseId(), limits.storeTimeoutMillis()));
    }

    private void kept(long nowNanos, Held held, RolloutEvent.LeaseAnswer answer) {
        switch (answer) {
            case RolloutEvent.LeaseAnswer.Held lease ->
                    state =
                            new Held(
                                    held.leaseId,
                                    held.fence,
                                    held.sinceNanos,
                                    Math.max(
                                            held.validUntilNanos,
                                            validUntil(held.keepNanos, lease.ttlMillis())),
                                    0,
                                    held.keepNanos);
            case RolloutEvent.LeaseAnswer.Lost lost -> rest(nowNanos);
            case RolloutEvent.LeaseAnswer.Unavailable unavailable -> {}
        }
    }

    /** Takes the store's word on the lease's key. */
    void onSwap(long nowNanos, RolloutEvent.SwapResult result) {
        if (!(state instanceof Taking taking) || taking.ticket != result.ticket()) {
            return;
        }
        if (result.answer() instanceof RolloutEvent.SwapAnswer.Swapped swapped
                && nowNanos < taking.validUntilNanos) {
            state =
                    new Held(
                            taking.leaseId,
                            swapped.revision(),
                            nowNanos,
                            taking.validUntilNanos,
                            0,
                            taking.askedNanos);
            return;
        }
        // A key whose write was lost goes with its lease, which nobody keeps alive.
        rest(nowNanos);
    }

    private void rest(long nowNanos) {
        state = new Idle(nowNanos + nanos(limits.leaseMillis()) / KEEPS_PER_LEASE);
    }

    private long validUntil(long askedNanos, long ttlMillis) {
        return askedNanos + nanos(ttlMillis - limits.leaseMarginMillis());
    }

    private long patienceNanos() {
        return 2 * nanos(limits.storeTimeoutMillis());
    }

    private static long nanos(long millis) {
        return millis * RolloutCore.NANOS_PER_MILLI;
    }
}
