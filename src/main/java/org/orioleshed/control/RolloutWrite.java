package org.orioleshed.control;

import java.util.List;
import java.util.Optional;
import org.orioleshed.model.RolloutId;
import org.orioleshed.model.StateMachine;
import org.orioleshed.rollout.BadRecordException;
import org.orioleshed.rollout.RolloutRecord;
import org.orioleshed.rollout.RolloutState;
import org.orioleshed.store.Store;

/**
 * Brings an operator's wish about one rollout into the store; a lost answer is settled by reading.
 */
final class RolloutWrite implements StateMachine<RolloutWrite.Event, RolloutWrite.Action> {
    /** What an operator wants. */
    sealed interface Wish {
        /** Returns the rollout. */
        RolloutId rollout();

        /** A new rollout. */
        record Plan(RolloutRecord record) implements Wish {
            @Override
            public RolloutId rollout() {
                return record.id();
            }
        }

        /** Take a rollout back that has no outcome. */
        record RollBack(RolloutId rollout, String author, String reason, long atMillis)
                implements Wish {}
    }

    /** What can happen. */
    sealed interface Event {
        /** Time passed, or the write starts. */
        record Tick() implements Event {}

        /** The store answered the last action. */
        record Answered(Store.Result result) implements Event {}
    }

    /** What to do. */
    sealed interface Action {
        /** Read the record. */
        record Read() implements Action {}

        /** Replace the record if it is still at {@code expectedRevision}. */
        record Swap(long expectedRevision, RolloutRecord record) implements Action {}

        /** The last action; the revision is zero when it is not known. */
        record Settled(RolloutWriteResult result, long revision) implements Action {}
    }

    private static final long RETRY_NANOS = 100_000_000;

    private final Wish wish;
    private final long deadlineNanos;
    private boolean waiting;
    private boolean mayBeWritten;
    private RolloutRecord wanted;
    private long retryNanos;

    RolloutWrite(Wish wish, long deadlineNanos) {
        this.wish = wish;
        this.deadlineNanos = deadlineNanos;
    }

    RolloutId rollout() {
        return wish.rollout();
    }

    @Override
    public List<Action> on(long nowNanos, Event event) {
        return switch (event) {
            case Event.Tick tick -> tick(nowNanos);
            case Event.Answered answered -> take(nowNanos, answered.result());
        };
    }

    private List<Action> tick(long nowNanos) {
        if (waiting || nowNanos < retryNanos) {
            return List.of();
        }
        if (nowNanos >= deadlineNanos) {
            return giveUp("no answer in time");
        }
        waiting = true;
        return List.of(new Action.Read());
    }

    private List<Action> take(long nowNanos, Store.Result result) {
        return switch (result) {
            case Store.Result.Entries entries -> judge(entries.entries().stream().findFirst());
            case Store.Result.Conflict conflict -> judge(conflict.present());
            case Store.Result.Swapped swapped ->
                    settle(new RolloutWriteResult.Written(wanted), swapped.revision());
            case Store.Result.Unavailable unavailable when !mayBeWritten ->
                    giveUp(unavailable.detail());
            default -> {
                mayBeWritten |= wanted != null;
                waiting = false;
                retryNanos = nowNanos + RETRY_NANOS;
                yield List.of();
            }
        };
    }

    private List<Action> judge(Optional<Store.Entry> entry) {
        try {
            return switch (wish) {
                case Wish.Plan plan -> judgePlan(plan.record(), entry);
                case Wish.RollBack back -> judgeRollBack(back, entry);
            };
        } catch (BadRecordException e) {
            return settle(new RolloutWriteResult.Unreadable(String.valueOf(e.getMessage())), 0);
        }
    }

    private List<Action> judgePlan(RolloutRecord planned, Optional<Store.Entry> entry)
            throws BadRecordException {
        if (entry.isEmpty()) {
            return swap(0, planned);
        }
        RolloutRecord present = RolloutRecord.parse(entry.get().value());
        boolean own =
                present.plannedMillis() == planned.plannedMillis()
                        && present.author().equals(planned.author())
                        && present.completeByMillis() == planned.completeByMillis();
        return own && mayBeWritten
                ? settle(new RolloutWriteResult.Written(present), entry.get().revision())
                : settle(new RolloutWriteResult.Exists(present), entry.get().revision());
    }

    private List<Action> judgeRollBack(Wish.RollBack back, Optional<Store.Entry> entry)
            throws BadRecordException {
        if (entry.isEmpty()) {
            return settle(new RolloutWriteResult.NotFound(back.rollout()), 0);
        }
        RolloutRecord present = RolloutRecord.parse(entry.get().value());
        if (!present.state().isOutcome()) {
            RolloutRecord taken =
                    present.decided(
                            RolloutState.TAKEN_BACK,
                            back.atMillis(),
                            present.fence(),
                            back.author(),
                            back.reason());
            return swap(entry.get().revision(), taken);
        }
        boolean own = mayBeWritten && present.equals(wanted);
        return own
                ? settle(new RolloutWriteResult.Written(present), entry.get().revision())
                : settle(new RolloutWriteResult.Decided(present), entry.get().revision());
    }

    private List<Action> swap(long expectedRevision, RolloutRecord record) {
        wanted = record;
        waiting = true;
        return List.of(new Action.Swap(expectedRevision, record));
    }

    private List<Action> giveUp(String detail) {
        return settle(
                mayBeWritten
                        ? new RolloutWriteResult.InDoubt(detail)
                        : new RolloutWriteResult.StoreAway(detail),
                0);
    }

    private List<Action> settle(RolloutWriteResult result, long revision) {
        waiting = true;
        return List.of(new Action.Settled(result, revision));
    }
}
