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
 * Writes an operator's command about one rollout to the store. If the answer to a write is lost,
 * reads the record to find out whether it took effect.
 */
final class RolloutWrite implements StateMachine<RolloutWrite.Event, RolloutWrite.Action> {
    /** A command of an operator. */
    sealed interface Command {
        /** Returns the rollout that the command is about. */
        RolloutId rollout();

        /** Record a new rollout. */
        record Plan(RolloutRecord record) implements Command {
            @Override
            public RolloutId rollout() {
                return record.id();
            }
        }

        /** Roll back a rollout that has no outcome. */
        record RollBack(RolloutId rollout, String author, String reason, long atMillis)
                implements Command {}
    }

    /** An event of the state machine. */
    sealed interface Event {
        /** Time passed, or the write started. */
        record Tick() implements Event {}

        /** The store answered the last action. */
        record Answered(Store.Result result) implements Event {}
    }

    /** An action of the state machine. */
    sealed interface Action {
        /** Read the record. */
        record Read() implements Action {}

        /** Replace the record if it is still at {@code expectedRevision}. */
        record Swap(long expectedRevision, RolloutRecord record) implements Action {}

        /** Report the result, the last action; {@code revision} is zero if unknown. */
        record Settled(RolloutWriteResult result, long revision) implements Action {}
    }

    private static final long RETRY_NANOS = 100_000_000;

    private final Command command;
    private final long deadlineNanos;
    private boolean awaitingAnswer;
    private boolean writeInDoubt;
    private RolloutRecord attemptedRecord;
    private long retryNanos;

    RolloutWrite(Command command, long deadlineNanos) {
        this.command = command;
        this.deadlineNanos = deadlineNanos;
    }

    RolloutId rollout() {
        return command.rollout();
    }

    @Override
    public List<Action> on(long nowNanos, Event event) {
        return switch (event) {
            case Event.Tick tick -> tick(nowNanos);
            case Event.Answered answered -> onAnswer(nowNanos, answered.result());
        };
    }

    private List<Action> tick(long nowNanos) {
        if (awaitingAnswer || nowNanos < retryNanos) {
            return List.of();
        }
        if (nowNanos >= deadlineNanos) {
            return fail("the store did not answer before the deadline");
        }
        awaitingAnswer = true;
        return List.of(new Action.Read());
    }

    private List<Action> onAnswer(long nowNanos, Store.Result result) {
        return switch (result) {
            case Store.Result.Entries entries -> decide(entries.entries().stream().findFirst());
            case Store.Result.Conflict conflict -> decide(conflict.present());
            case Store.Result.Swapped swapped ->
                    settle(
                            new RolloutWriteResult.Written(attemptedRecord),
                            swapped.revision().number());
            case Store.Result.Unavailable unavailable when !writeInDoubt ->
                    fail(unavailable.detail());
            default -> {
                writeInDoubt |= attemptedRecord != null;
                awaitingAnswer = false;
                retryNanos = nowNanos + RETRY_NANOS;
                yield List.of();
            }
        };
    }

    private List<Action> decide(Optional<Store.Entry> entry) {
        try {
            return switch (command) {
                case Command.Plan plan -> decidePlan(plan.record(), entry);
                case Command.RollBack rollBack -> decideRollBack(rollBack, entry);
            };
        } catch (BadRecordException e) {
            return settle(new RolloutWriteResult.Unreadable(String.valueOf(e.getMessage())), 0);
        }
    }

    private List<Action> decidePlan(RolloutRecord planned, Optional<Store.Entry> entry)
            throws BadRecordException {
        if (entry.isEmpty()) {
            return swap(0, planned);
        }
        RolloutRecord present = RolloutRecord.parse(entry.get().value());
        boolean ownWrite =
                present.plannedMillis() == planned.plannedMillis()
                        && present.author().equals(planned.author())
                        && present.completeByMillis() == planned.completeByMillis();
        return ownWrite && writeInDoubt
                ? settle(new RolloutWriteResult.Written(present), entry.get().revision().number())
                : settle(new RolloutWriteResult.Exists(present), entry.get().revision().number());
    }

    private List<Action> decideRollBack(Command.RollBack rollBack, Optional<Store.Entry> entry)
            throws BadRecordException {
        if (entry.isEmpty()) {
            return settle(new RolloutWriteResult.NotFound(rollBack.rollout()), 0);
        }
        RolloutRecord present = RolloutRecord.parse(entry.get().value());
        if (!present.state().isOutcome()) {
            RolloutRecord rolledBack =
                    present.decided(
                            RolloutState.TAKEN_BACK,
                            rollBack.atMillis(),
                            present.fence(),
                            rollBack.author(),
                            rollBack.reason());
            return swap(entry.get().revision().number(), rolledBack);
        }
        boolean ownWrite = writeInDoubt && present.equals(attemptedRecord);
        return ownWrite
                ? settle(new RolloutWriteResult.Written(present), entry.get().revision().number())
                : settle(new RolloutWriteResult.Decided(present), entry.get().revision().number());
    }

    private List<Action> swap(long expectedRevision, RolloutRecord record) {
        attemptedRecord = record;
        awaitingAnswer = true;
        return List.of(new Action.Swap(expectedRevision, record));
    }

    private List<Action> fail(String detail) {
        return settle(
                writeInDoubt
                        ? new RolloutWriteResult.InDoubt(detail)
                        : new RolloutWriteResult.StoreUnavailable(detail),
                0);
    }

    private List<Action> settle(RolloutWriteResult result, long revision) {
        awaitingAnswer = true;
        return List.of(new Action.Settled(result, revision));
    }
}
