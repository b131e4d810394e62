package org.orioleshed.move;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.orioleshed.model.MoveId;
import org.orioleshed.model.Payload;

/**
 * The lease that makes a host the mover of one move. Its time runs on the monotonic clock from the
 * moment it was asked for, so that a holder that was paused finds it ended before it does anything.
 */
final class MoverLease {
    /** The start of the keys that hold movers' leases. */
    static final String KEY_PREFIX = "orioleshed/leases/mover-";

    private static final int KEEPS_PER_LEASE = 3;

    private final String key;
    private final Payload holder;
    private final MoveLimits limits;
    private final LongSupplier tickets;
    private State state = new Idle(Long.MIN_VALUE);

    private sealed interface State {}

    /** Not the mover. */
    private record Idle(long retryNanos) implements State {}

    /** A lease was asked for. */
    private record Granting(long ticket, long askedNanos) implements State {}

    /** The lease stands; its key is being written. */
    private record Taking(long ticket, long leaseId, long askedNanos, long validUntilNanos)
            implements State {}

    /** The mover. */
    private record Held(
            long leaseId,
            long fence,
            long sinceNanos,
            long validUntilNanos,
            long keepTicket,
            long keepNanos)
            implements State {}

    MoverLease(MoveId move, Payload holder, MoveLimits limits, LongSupplier tickets) {
        this.key = KEY_PREFIX + move;
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
     * @param wanted whether the host should become the mover if it is not
     */
    List<MoveAction> tick(long nowNanos, boolean wanted) {
        List<MoveAction> actions = new ArrayList<>();
        switch (state) {
            case Idle idle -> {
                if (wanted && nowNanos >= idle.retryNanos) {
                    long ticket = tickets.getAsLong();
                    state = new Granting(ticket, nowNanos);
                    actions.add(new MoveAction.GrantLease(ticket, limits.leaseMillis()));
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

    private void tickHeld(long nowNanos, Held held, List<MoveAction> actions) {
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
        actions.add(new MoveAction.KeepLease(ticket, held.leaseId));
    }

    /** Takes the store's word on a lease. */
    List<MoveAction> onLease(long nowNanos, MoveEvent.LeaseResult result) {
        if (state instanceof Granting granting && granting.ticket == result.ticket()) {
            return granted(nowNanos, granting, result.answer());
        }
        if (state instanceof Held held && held.keepTicket == result.ticket()) {
            kept(nowNanos, held, result.answer());
        }
        return List.of();
    }

    private List<MoveAction> granted(
            long nowNanos, Granting granting, MoveEvent.LeaseAnswer answer) {
        if (!(answer instanceof MoveEvent.LeaseAnswer.Held lease)) {
            rest(nowNanos);
            return List.of();
        }
        long ticket = tickets.getAsLong();
        long validUntil = validUntil(granting.askedNanos, lease.ttlMillis());
        state = new Taking(ticket, lease.leaseId(), granting.askedNanos, validUntil);
        return List.of(
                new MoveAction.SwapRecord(
                        ticket, key, 0, holder, lease.leaseId(), limits.storeTimeoutMillis()));
    }

    private void kept(long nowNanos, Held held, MoveEvent.LeaseAnswer answer) {
        switch (answer) {
            case MoveEvent.LeaseAnswer.Held lease ->
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
            case MoveEvent.LeaseAnswer.Lost lost -> rest(nowNanos);
            case MoveEvent.LeaseAnswer.Away away -> {}
        }
    }

    /** Takes the store's word on the lease's key. */
    void onSwap(long nowNanos, MoveEvent.SwapResult result) {
        if (!(state instanceof Taking taking) || taking.ticket != result.ticket()) {
            return;
        }
        if (result.answer() instanceof MoveEvent.SwapAnswer.Swapped swapped
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
        return millis * MoveCore.NANOS_PER_MILLI;
    }
}
