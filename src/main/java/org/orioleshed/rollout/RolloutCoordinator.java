package org.orioleshed.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.model.Payload;

/**
 * The coordinator of one rollout, while this host holds the lease: takes steps, and records the
 * outcome. Its writes are compare-and-swaps on the record's revision, each with the coordinator's
 * fencing number, so that two coordinators never both succeed; a lost answer is settled by reading
 * the record back.
 */
final class RolloutCoordinator {
    /** New runs' alarm that holds completion up, as a part of the level that trips the breaker. */
    private static final double HOLD_PART = 0.27;

    private final RolloutRun run;
    private final RolloutLimits limits;
    private final LongSupplier tickets;
    private final CoordinatorLease lease;
    private final OrderPlan orders;
    private Optional<Pending> pending = Optional.empty();
    private long retryNanos = Long.MIN_VALUE;

    /** A swap whose answer is still out. */
    private record Pending(long ticket, RolloutRecord value, long askedNanos) {}

    RolloutCoordinator(RolloutRun run, Payload holder, RolloutLimits limits, LongSupplier tickets) {
        this.run = run;
        this.limits = limits;
        this.tickets = tickets;
        this.lease = new CoordinatorLease(run.record().id(), holder, limits, tickets);
        this.orders = new OrderPlan(run.record(), limits);
    }

    /** Returns the fencing number; zero while this host is not the coordinator. */
    long fence(long nowNanos) {
        return lease.fence(nowNanos);
    }

    OrderPlan orders() {
        return orders;
    }

    List<RolloutAction> onLease(long nowNanos, RolloutEvent.LeaseResult result) {
        return lease.onLease(nowNanos, result);
    }

    /** Lets time pass. */
    List<RolloutAction> tick(
            long nowNanos,
            long epochMillis,
            FleetSnapshot fleet,
            boolean wanted,
            boolean mustWait) {
        if (!run.isOpen()) {
            return List.of();
        }
        List<RolloutAction> actions = new ArrayList<>(lease.tick(nowNanos, wanted));
        if (!lease.isHeld(nowNanos) || isBusy(nowNanos, actions)) {
            return actions;
        }
        Optional<RolloutRecord> next = decide(nowNanos, epochMillis, fleet, mustWait, actions);
        next.ifPresent(value -> actions.add(swap(nowNanos, value)));
        return actions;
    }

    private boolean isBusy(long nowNanos, List<RolloutAction> actions) {
        if (nowNanos < retryNanos) {
            return true;
        }
        if (pending.isEmpty()) {
            return false;
        }
        long waitedNanos = nowNanos - pending.get().askedNanos;
        if (waitedNanos >= 2 * limits.storeTimeoutMillis() * RolloutCore.NANOS_PER_MILLI) {
            actions.addAll(readBack(nowNanos));
        }
        return true;
    }

    private Optional<RolloutRecord> decide(
            long nowNanos,
            long epochMillis,
            FleetSnapshot fleet,
            boolean mustWait,
            List<RolloutAction> actions) {
        RolloutRecord record = run.record();
        Optional<String> back = rollBackReason(epochMillis);
        if (back.isPresent()) {
            return Optional.of(outcome(nowNanos, epochMillis, RolloutState.TAKEN_BACK, back.get()));
        }
        if (record.state() == RolloutState.PLANNED) {
            actions.addAll(orders.tick(nowNanos, lease.fence(nowNanos), lease.sinceNanos(), fleet));
            return orders.isDone() && !mustWait
                    ? Optional.of(step(nowNanos, epochMillis, 0))
                    : Optional.empty();
        }
        if (record.fence() != lease.fence(nowNanos)) {
            return Optional.of(step(nowNanos, epochMillis, record.step()));
        }
        if (!run.pooled().isFresh(nowNanos, run.domains(fleet))) {
            return Optional.empty();
        }
        if (record.step() < limits.lastStep()) {
            return run.pooled().proofOverall() >= limits.stepProof()
                    ? Optional.of(step(nowNanos, epochMillis, record.step() + 1))
                    : Optional.empty();
        }
        return isProven(epochMillis)
                ? Optional.of(outcome(nowNanos, epochMillis, RolloutState.COMPLETED, "proven"))
                : Optional.empty();
    }

    private Optional<String> rollBackReason(long epochMillis) {
        if (run.isSuperseded()) {
            return Optional.of("another move has the same routes");
        }
        if (run.breaker().isPresent()) {
            return Optional.of("fuse blew: " + run.breaker().get());
        }
        if (epochMillis >= run.record().completeByMillis() - limits.spreadMillis()) {
            return Optional.of("not proven in time: " + missing());
        }
        return Optional.empty();
    }

    private boolean isProven(long epochMillis) {
        return epochMillis >= soakUntilMillis() && missing().equals("nothing");
    }

    private String missing() {
        PooledEvidence evidence = run.pooled();
        if (evidence.proofOfEachRoute() < limits.fullProof()) {
            return "evidence on a route";
        }
        if (evidence.lacksProofUnderLoad(LoadTrial.PROOF)) {
            return "evidence under load";
        }
        if (evidence.lacksRunsInBusyDomain()) {
            return "evidence in a failure domain";
        }
        if (evidence.alarm() >= HOLD_PART * limits.breakerLevel()) {
            return "a quiet moment after failures";
        }
        return "nothing";
    }

    private long soakUntilMillis() {
        RolloutRecord record = run.record();
        long wholeMillis = record.completeByMillis() - record.startedMillis();
        return record.startedMillis() + (long) (wholeMillis * limits.soakFraction());
    }

    private RolloutRecord step(long nowNanos, long epochMillis, int step) {
        return run.record().atStep(step, epochMillis, lease.fence(nowNanos));
    }

    private RolloutRecord outcome(
            long nowNanos, long epochMillis, RolloutState state, String reason) {
        long fence = lease.fence(nowNanos);
        return run.record().decided(state, epochMillis, fence, "orioleshed", reason);
    }

    private RolloutAction swap(long nowNanos, RolloutRecord value) {
        long ticket = tickets.getAsLong();
        pending = Optional.of(new Pending(ticket, value, nowNanos));
        return new RolloutAction.SwapRecord(
                ticket,
                RolloutRecord.key(value.id()),
                run.revision(),
                value.toPayload(),
                0,
                limits.storeTimeoutMillis());
    }

    /**
     * Takes the store's word on a swap.
     *
     * @param written is told of the record that was written, with its revision
     */
    List<RolloutAction> onSwap(long nowNanos, RolloutEvent.SwapResult result, Written written) {
        lease.onSwap(nowNanos, result);
        if (pending.isEmpty() || pending.get().ticket != result.ticket()) {
            return List.of();
        }
        RolloutRecord value = pending.get().value;
        return switch (result.answer()) {
            case RolloutEvent.SwapAnswer.Swapped swapped -> {
                pending = Optional.empty();
                yield written.record(value, swapped.revision());
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
        return List.of(new RolloutAction.ReadRecord(run.record().id()));
    }

    /** The record was read back: go on at once. */
    void recordRead() {
        if (pending.isEmpty()) {
            retryNanos = Long.MIN_VALUE;
        }
    }

    /** Hears of a record that this host wrote. */
    interface Written {
        List<RolloutAction> record(RolloutRecord value, long revision);
    }
}
