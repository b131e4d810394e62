package org.orioleshed.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.model.Payload;

/**
 * The coordinator of one rollout, while this host holds the lease: advances its steps and records
 * the outcome. Writes are compare-and-swap operations on the record's revision and carry the
 * coordinator's fencing number, so that of two coordinators at most one succeeds. After a lost
 * answer the record is read back.
 */
final class RolloutCoordinator {
    /** Alarm that delays completion, as a fraction of the level that trips the breaker. */
    private static final double COMPLETION_ALARM_FRACTION = 0.27;

    private final RolloutTracker tracker;
    private final RolloutLimits limits;
    private final LongSupplier tickets;
    private final CoordinatorLease lease;
    private final LoadOrderScheduler orders;
    private Optional<Pending> pending = Optional.empty();
    private long retryNanos = Long.MIN_VALUE;

    /** A swap without an answer yet. */
    private record Pending(long ticket, RolloutRecord value, long sentNanos) {}

    RolloutCoordinator(
            RolloutTracker tracker, Payload holder, RolloutLimits limits, LongSupplier tickets) {
        this.tracker = tracker;
        this.limits = limits;
        this.tickets = tickets;
        this.lease = new CoordinatorLease(tracker.record().id(), holder, limits, tickets);
        this.orders = new LoadOrderScheduler(tracker.record(), limits);
    }

    /** Returns the fencing number; zero while this host is not the coordinator. */
    long fence(long nowNanos) {
        return lease.fence(nowNanos);
    }

    LoadOrderScheduler orders() {
        return orders;
    }

    List<RolloutAction> onLease(long nowNanos, RolloutEvent.LeaseResult result) {
        return lease.onLease(nowNanos, result);
    }

    /**
     * Advances timers and returns the lease, order and record actions that are due.
     *
     * @param wanted whether this host should become the coordinator if it is not
     * @param holdStart whether a planned rollout must not start yet
     */
    List<RolloutAction> tick(
            long nowNanos,
            long epochMillis,
            FleetSnapshot fleet,
            boolean wanted,
            boolean holdStart) {
        if (!tracker.isOpen()) {
            return List.of();
        }
        List<RolloutAction> actions = new ArrayList<>(lease.tick(nowNanos, wanted));
        if (!lease.isHeld(nowNanos) || mustWaitForStore(nowNanos, actions)) {
            return actions;
        }
        Optional<RolloutRecord> next = decide(nowNanos, epochMillis, fleet, holdStart, actions);
        next.ifPresent(value -> actions.add(swap(nowNanos, value)));
        return actions;
    }

    private boolean mustWaitForStore(long nowNanos, List<RolloutAction> actions) {
        if (nowNanos < retryNanos) {
            return true;
        }
        if (pending.isEmpty()) {
            return false;
        }
        long waitedNanos = nowNanos - pending.get().sentNanos;
        if (waitedNanos >= 2 * limits.storeTimeoutMillis() * RolloutCore.NANOS_PER_MILLI) {
            actions.addAll(readBack(nowNanos));
        }
        return true;
    }

    private Optional<RolloutRecord> decide(
            long nowNanos,
            long epochMillis,
            FleetSnapshot fleet,
            boolean holdStart,
            List<RolloutAction> actions) {
        RolloutRecord record = tracker.record();
        Optional<String> reason = rollBackReason(epochMillis);
        if (reason.isPresent()) {
            return Optional.of(
                    outcome(nowNanos, epochMillis, RolloutState.TAKEN_BACK, reason.get()));
        }
        if (record.state() == RolloutState.PLANNED) {
            actions.addAll(orders.tick(nowNanos, lease.fence(nowNanos), lease.sinceNanos(), fleet));
            return orders.isDone() && !holdStart
                    ? Optional.of(step(nowNanos, epochMillis, 0))
                    : Optional.empty();
        }
        if (record.fence() != lease.fence(nowNanos)) {
            return Optional.of(step(nowNanos, epochMillis, record.step()));
        }
        if (!tracker.pooled().isFresh(nowNanos, tracker.domains(fleet))) {
            return Optional.empty();
        }
        if (record.step() < limits.lastStep()) {
            return tracker.pooled().proofOverall() >= limits.stepProof()
                    ? Optional.of(step(nowNanos, epochMillis, record.step() + 1))
                    : Optional.empty();
        }
        return isProven(epochMillis)
                ? Optional.of(outcome(nowNanos, epochMillis, RolloutState.COMPLETED, "proven"))
                : Optional.empty();
    }

    private Optional<String> rollBackReason(long epochMillis) {
        if (tracker.isSuperseded()) {
            return Optional.of("another move has the same routes");
        }
        if (tracker.breaker().isPresent()) {
            return Optional.of("fuse blew: " + tracker.breaker().get());
        }
        if (epochMillis >= tracker.record().completeByMillis() - limits.propagationMillis()) {
            return Optional.of("not proven in time: " + missing());
        }
        return Optional.empty();
    }

    private boolean isProven(long epochMillis) {
        return epochMillis >= soakEndMillis() && missing().equals("nothing");
    }

    private String missing() {
        PooledEvidence evidence = tracker.pooled();
        if (evidence.proofOfEachRoute() < limits.fullProof()) {
            return "evidence on a route";
        }
        if (evidence.lacksProofUnderLoad(LoadTrial.REQUIRED_PROOF)) {
            return "evidence under load";
        }
        if (evidence.lacksRunsInBusyDomain()) {
            return "evidence in a failure domain";
        }
        if (evidence.alarm() >= COMPLETION_ALARM_FRACTION * limits.breakerLevel()) {
            return "a quiet moment after failures";
        }
        return "nothing";
    }

    private long soakEndMillis() {
        RolloutRecord record = tracker.record();
        long totalMillis = record.completeByMillis() - record.startedMillis();
        return record.startedMillis() + (long) (totalMillis * limits.soakFraction());
    }

    private RolloutRecord step(long nowNanos, long epochMillis, int step) {
        return tracker.record().atStep(step, epochMillis, lease.fence(nowNanos));
    }

    private RolloutRecord outcome(
            long nowNanos, long epochMillis, RolloutState state, String reason) {
        long fence = lease.fence(nowNanos);
        return tracker.record().decided(state, epochMillis, fence, "orioleshed", reason);
    }

    private RolloutAction swap(long nowNanos, RolloutRecord value) {
        long ticket = tickets.getAsLong();
        pending = Optional.of(new Pending(ticket, value, nowNanos));
        return new RolloutAction.SwapRecord(
                ticket,
                RolloutRecord.key(value.id()),
                tracker.revision(),
                value.toPayload(),
                0,
                limits.storeTimeoutMillis());
    }

    /**
     * Handles the answer to a swap.
     *
     * @param listener called if the swap wrote a record
     */
    List<RolloutAction> onSwap(
            long nowNanos, RolloutEvent.SwapResult result, WriteListener listener) {
        lease.onSwap(nowNanos, result);
        if (pending.isEmpty() || pending.get().ticket != result.ticket()) {
            return List.of();
        }
        RolloutRecord value = pending.get().value;
        return switch (result.answer()) {
            case RolloutEvent.SwapAnswer.Swapped swapped -> {
                pending = Optional.empty();
                yield listener.onWritten(value, swapped.revision());
            }
            case RolloutEvent.SwapAnswer.Conflict conflict -> readBack(nowNanos);
            case RolloutEvent.SwapAnswer.Unknown unknown -> readBack(nowNanos);
            case RolloutEvent.SwapAnswer.Unavailable unavailable -> {
                pending = Optional.empty();
                retryNanos = nowNanos + limits.storeTimeoutMillis() * RolloutCore.NANOS_PER_MILLI;
                yield List.of();
            }
        };
    }

    private List<RolloutAction> readBack(long nowNanos) {
        pending = Optional.empty();
        retryNanos = nowNanos + limits.storeTimeoutMillis() * RolloutCore.NANOS_PER_MILLI;
        return List.of(new RolloutAction.ReadRecord(tracker.record().id()));
    }

    /** Ends the retry delay after the record was read back. */
    void recordRead() {
        if (pending.isEmpty()) {
            retryNanos = Long.MIN_VALUE;
        }
    }

    /** Receives a record that this host wrote and its revision. */
    interface WriteListener {
        List<RolloutAction> onWritten(RolloutRecord value, long revision);
    }
}
