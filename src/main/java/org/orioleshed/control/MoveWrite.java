package org.orioleshed.control;

import java.util.List;
import java.util.Optional;
import org.orioleshed.model.Machine;
import org.orioleshed.model.MoveId;
import org.orioleshed.move.BadRecordException;
import org.orioleshed.move.MoveRecord;
import org.orioleshed.move.MoveState;
import org.orioleshed.store.Store;

/** Brings an operator's wish about one move into the store; a lost answer is settled by reading. */
final class MoveWrite implements Machine<MoveWrite.Event, MoveWrite.Action> {
    /** What an operator wants. */
    sealed interface Wish {
        /** Returns the move. */
        MoveId move();

        /** A new move. */
        record Plan(MoveRecord record) implements Wish {
            @Override
            public MoveId move() {
                return record.id();
            }
        }

        /** Take a move back that has no outcome. */
        record TakeBack(MoveId move, String author, String reason, long atMillis) implements Wish {}
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
        record Swap(long expectedRevision, MoveRecord record) implements Action {}

        /** The last action; the revision is zero when it is not known. */
        record Settled(MoveWriteResult result, long revision) implements Action {}
    }

    private static final long RETRY_NANOS = 100_000_000;

    private final Wish wish;
    private final long deadlineNanos;
    private boolean waiting;
    private boolean mayBeWritten;
    private MoveRecord wanted;
    private long retryNanos;

    MoveWrite(Wish wish, long deadlineNanos) {
        this.wish = wish;
        this.deadlineNanos = deadlineNanos;
    }

    MoveId move() {
        return wish.move();
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
                    settle(new MoveWriteResult.Written(wanted), swapped.revision());
            case Store.Result.Unavailable away when !mayBeWritten -> giveUp(away.detail());
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
                case Wish.TakeBack back -> judgeBack(back, entry);
            };
        } catch (BadRecordException e) {
            return settle(new MoveWriteResult.Unreadable(String.valueOf(e.getMessage())), 0);
        }
    }

    private List<Action> judgePlan(MoveRecord planned, Optional<Store.Entry> entry)
            throws BadRecordException {
        if (entry.isEmpty()) {
            return swap(0, planned);
        }
        MoveRecord present = MoveRecord.parse(entry.get().value());
        boolean own =
                present.plannedMillis() == planned.plannedMillis()
                        && present.author().equals(planned.author())
                        && present.completeByMillis() == planned.completeByMillis();
        return own && mayBeWritten
                ? settle(new MoveWriteResult.Written(present), entry.get().revision())
                : settle(new MoveWriteResult.Exists(present), entry.get().revision());
    }

    private List<Action> judgeBack(Wish.TakeBack back, Optional<Store.Entry> entry)
            throws BadRecordException {
        if (entry.isEmpty()) {
            return settle(new MoveWriteResult.NotFound(back.move()), 0);
        }
        MoveRecord present = MoveRecord.parse(entry.get().value());
        if (!present.state().isOutcome()) {
            MoveRecord taken =
                    present.decided(
                            MoveState.TAKEN_BACK,
                            back.atMillis(),
                            present.fence(),
                            back.author(),
                            back.reason());
            return swap(entry.get().revision(), taken);
        }
        boolean own = mayBeWritten && present.equals(wanted);
        return own
                ? settle(new MoveWriteResult.Written(present), entry.get().revision())
                : settle(new MoveWriteResult.Decided(present), entry.get().revision());
    }

    private List<Action> swap(long expectedRevision, MoveRecord record) {
        wanted = record;
        waiting = true;
        return List.of(new Action.Swap(expectedRevision, record));
    }

    private List<Action> giveUp(String detail) {
        return settle(
                mayBeWritten
                        ? new MoveWriteResult.InDoubt(detail)
                        : new MoveWriteResult.StoreAway(detail),
                0);
    }

    private List<Action> settle(MoveWriteResult result, long revision) {
        waiting = true;
        return List.of(new Action.Settled(result, revision));
    }
}
