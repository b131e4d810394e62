package org.orioleshed.move;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.orioleshed.fleet.World;
import org.orioleshed.model.Payload;

/**
 * The mover of one move, while this host holds the lease: takes steps, and records the outcome. Its
 * writes are compare-and-swaps on the record's revision, each with the mover's fencing number, so
 * that two movers never both succeed; a lost answer is settled by reading the record back.
 */
final class Mover {
    /** New runs' alarm that holds completion up, as a part of the level that blows the fuse. */
    private static final double HOLD_PART = 0.27;

    private final MoveRun run;
    private final MoveLimits limits;
    private final LongSupplier tickets;
    private final MoverLease lease;
    private final OrderPlan orders;
    private Optional<Pending> pending = Optional.empty();
    private long retryNanos = Long.MIN_VALUE;

    /** A swap whose answer is still out. */
    private record Pending(long ticket, MoveRecord value, long askedNanos) {}

    Mover(MoveRun run, Payload holder, MoveLimits limits, LongSupplier tickets) {
        this.run = run;
        this.limits = limits;
        this.tickets = tickets;
        this.lease = new MoverLease(run.record().id(), holder, limits, tickets);
        this.orders = new OrderPlan(run.record(), limits);
    }

    /** Returns the fencing number; zero while this host is not the mover. */
    long fence(long nowNanos) {
        return lease.fence(nowNanos);
    }

    OrderPlan orders() {
        return orders;
    }

    List<MoveAction> onLease(long nowNanos, MoveEvent.LeaseResult result) {
        return lease.onLease(nowNanos, result);
    }

    /** Lets time pass. */
    List<MoveAction> tick(
            long nowNanos, long epochMillis, World world, boolean wanted, boolean mustWait) {
        if (!run.isOpen()) {
            return List.of();
        }
        List<MoveAction> actions = new ArrayList<>(lease.tick(nowNanos, wanted));
        if (!lease.isHeld(nowNanos) || isBusy(nowNanos, actions)) {
            return actions;
        }
        Optional<MoveRecord> next = decide(nowNanos, epochMillis, world, mustWait, actions);
        next.ifPresent(value -> actions.add(swap(nowNanos, value)));
        return actions;
    }

    private boolean isBusy(long nowNanos, List<MoveAction> actions) {
        if (nowNanos < retryNanos) {
            return true;
        }
        if (pending.isEmpty()) {
            return false;
        }
        long waitedNanos = nowNanos - pending.get().askedNanos;
        if (waitedNanos >= 2 * limits.storeTimeoutMillis() * MoveCore.NANOS_PER_MILLI) {
            actions.addAll(readBack(nowNanos));
        }
        return true;
    }

    private Optional<MoveRecord> decide(
            long nowNanos,
            long epochMillis,
            World world,
            boolean mustWait,
            List<MoveAction> actions) {
        MoveRecord record = run.record();
        Optional<String> back = reasonToTakeBack(epochMillis);
        if (back.isPresent()) {
            return Optional.of(outcome(nowNanos, epochMillis, MoveState.TAKEN_BACK, back.get()));
        }
        if (record.state() == MoveState.PLANNED) {
            actions.addAll(orders.tick(nowNanos, lease.fence(nowNanos), lease.sinceNanos(), world));
            return orders.isDone() && !mustWait
                    ? Optional.of(step(nowNanos, epochMillis, 0))
                    : Optional.empty();
        }
        if (record.fence() != lease.fence(nowNanos)) {
            return Optional.of(step(nowNanos, epochMillis, record.step()));
        }
        if (!run.pooled().isFresh(nowNanos, run.domains(world))) {
            return Optional.empty();
        }
        if (record.step() < limits.lastStep()) {
            return run.pooled().proofOverall() >= limits.stepProof()
                    ? Optional.of(step(nowNanos, epochMillis, record.step() + 1))
                    : Optional.empty();
        }
        return isProven(epochMillis)
                ? Optional.of(outcome(nowNanos, epochMillis, MoveState.COMPLETED, "proven"))
                : Optional.empty();
    }

    private Optional<String> reasonToTakeBack(long epochMillis) {
        if (run.isSuperseded()) {
            return Optional.of("another move has the same routes");
        }
        if (run.fuse().isPresent()) {
            return Optional.of("fuse blew: " + run.fuse().get());
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
        if (evidence.alarm() >= HOLD_PART * limits.fuseLevel()) {
            return "a quiet moment after failures";
        }
        return "nothing";
    }

    private long soakUntilMillis() {
        MoveRecord record = run.record();
        long wholeMillis = record.completeByMillis() - record.startedMillis();
        return record.startedMillis() + (long) (wholeMillis * limits.soakFraction());
    }

    private MoveRecord step(long nowNanos, long epochMillis, int step) {
        return run.record().atStep(step, epochMillis, lease.fence(nowNanos));
    }

    private MoveRecord outcome(long nowNanos, long epochMillis, MoveState state, String reason) {
        long fence = lease.fence(nowNanos);
        return run.record().decided(state, epochMillis, fence, "orioleshed", reason);
    }

    private MoveAction swap(long nowNanos, MoveRecord value) {
        long ticket = tickets.getAsLong();
        pending = Optional.of(new Pending(ticket, value, nowNanos));
        return new MoveAction.SwapRecord(
                ticket,
                MoveRecord.key(value.id()),
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
    List<MoveAction> onSwap(long nowNanos, MoveEvent.SwapResult result, Written written) {
        lease.onSwap(nowNanos, result);
        if (pending.isEmpty() || pending.get().ticket != result.ticket()) {
            return List.of();
        }
        MoveRecord value = pending.get().value;
        return switch (result.answer()) {
            case MoveEvent.SwapAnswer.Swapped swapped -> {
                pending = Optional.empty();
                yield written.record(value, swapped.revision());
            }
            case MoveEvent.SwapAnswer.Conflict conflict -> readBack(nowNanos);
            case MoveEvent.SwapAnswer.Unknown unknown -> readBack(nowNanos);
            case MoveEvent.SwapAnswer.Away away -> {
                pending = Optional.empty();
                retryNanos = nowNanos + limits.storeTimeoutMillis() * MoveCore.NANOS_PER_MILLI;
                yield List.of();
            }
        };
    }

    private List<MoveAction> readBack(long nowNanos) {
        pending = Optional.empty();
        retryNanos = nowNanos + limits.storeTimeoutMillis() * MoveCore.NANOS_PER_MILLI;
        return List.of(new MoveAction.ReadRecord(run.record().id()));
    }

    /** The record was read back: go on at once. */
    void recordRead() {
        if (pending.isEmpty()) {
            retryNanos = Long.MIN_VALUE;
        }
    }

    /** Hears of a record that this host wrote. */
    interface Written {
        List<MoveAction> record(MoveRecord value, long revision);
    }
}
