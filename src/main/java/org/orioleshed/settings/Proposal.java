package org.orioleshed.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.orioleshed.model.Payload;
import org.orioleshed.model.StateMachine;
import org.orioleshed.store.Store;

/**
 * Writes one change to the store: reads the document, validates the changed tree, and writes it by
 * compare-and-swap. If the result of the swap is lost, the document is read again and searched for
 * the change's id. Repeating a swap is safe, since it names the revision that it replaces.
 */
public final class Proposal implements StateMachine<ProposalEvent, ProposalAction> {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long RETRY_DELAY_NANOS = 100 * NANOS_PER_MILLI;

    private enum State {
        READ_PENDING,
        READING,
        SWAPPING,
        SETTLED
    }

    private final ProposedChange change;
    private final long activeNumber;
    private final long atMillis;
    private final long deadlineNanos;
    private State state = State.READ_PENDING;
    private long retryAtNanos;
    private boolean possiblyWritten;
    private long proposedNumber;
    private Payload proposedValue = Payload.EMPTY;

    /**
     * Creates a proposal.
     *
     * @param change the proposed change
     * @param activeNumber the active revision of this host
     * @param atMillis the wall-clock time, in milliseconds since the epoch
     * @param deadlineNanos the time limit, on the monotonic clock, in nanoseconds
     */
    public Proposal(ProposedChange change, long activeNumber, long atMillis, long deadlineNanos) {
        this.change = change;
        this.activeNumber = activeNumber;
        this.atMillis = atMillis;
        this.deadlineNanos = deadlineNanos;
    }

    @Override
    public List<ProposalAction> on(long nowNanos, ProposalEvent event) {
        return switch (event) {
            case ProposalEvent.Tick tick -> onTick(nowNanos);
            case ProposalEvent.StoreAnswered answered -> onStoreResult(nowNanos, answered.result());
        };
    }

    private List<ProposalAction> onTick(long nowNanos) {
        if (state != State.READ_PENDING || nowNanos < retryAtNanos) {
            return List.of();
        }
        if (nowNanos >= deadlineNanos) {
            return giveUp("no result from the store before the deadline");
        }
        state = State.READING;
        return List.of(new ProposalAction.ReadStore());
    }

    private List<ProposalAction> onStoreResult(long nowNanos, Store.Result result) {
        boolean reading = state == State.READING;
        if (!reading && state != State.SWAPPING) {
            return List.of();
        }
        return switch (result) {
            case Store.Result.Entries entries when reading ->
                    onRead(entries.entries().stream().findFirst());
            case Store.Result.Swapped swapped when !reading ->
                    settle(new ProposalResult.Accepted(proposedNumber, proposedValue));
            case Store.Result.Conflict conflict when !reading -> onConflict(conflict.present());
            case Store.Result.Unknown unknown -> {
                possiblyWritten |= !reading;
                yield retry(nowNanos);
            }
            case Store.Result.Unavailable unavailable when !possiblyWritten ->
                    giveUp(unavailable.detail());
            default -> retry(nowNanos);
        };
    }

    private List<ProposalAction> retry(long nowNanos) {
        state = State.READ_PENDING;
        retryAtNanos = nowNanos + RETRY_DELAY_NANOS;
        return List.of();
    }

    private List<ProposalAction> onRead(Optional<Store.Entry> entry) {
        if (entry.isEmpty()) {
            return settle(new ProposalResult.Refused("the store has no settings"));
        }
        return switch (SettingsDocument.decode(entry.get().value())) {
            case SettingsDocument.Result.Problems invalid ->
                    settle(
                            new ProposalResult.Refused(
                                    "the stored settings are unreadable: " + invalid.problems()));
            case SettingsDocument.Result.Read read ->
                    prepare(read.document(), entry.get().revision().number());
        };
    }

    private List<ProposalAction> prepare(SettingsDocument present, long storeRevision) {
        Optional<Long> acceptedNumber = present.numberOf(change.id());
        if (acceptedNumber.isPresent()) {
            return settle(new ProposalResult.Accepted(acceptedNumber.get(), Payload.EMPTY));
        }
        if (present.number() < activeNumber) {
            String detail =
                    "the store holds revision " + present.number() + ", older than the active ";
            return settle(new ProposalResult.Refused(detail + "revision " + activeNumber));
        }
        if (change.basedOn().isPresent() && change.basedOn().get() != present.number()) {
            return settle(conflict(present, change.basedOn().get()));
        }
        SettingsChange next =
                new SettingsChange(
                        present.number() + 1,
                        change.id(),
                        change.author(),
                        change.reason(),
                        atMillis,
                        change.edits());
        return switch (present.with(next)) {
            case SettingsDocument.Result.Problems invalid ->
                    settle(new ProposalResult.Rejected(invalid.problems()));
            case SettingsDocument.Result.Read read -> swap(read.document(), storeRevision);
        };
    }

    private List<ProposalAction> swap(SettingsDocument proposed, long storeRevision) {
        List<Problem> problems = new ArrayList<>();
        if (proposed.check() instanceof SettingsTree.Result.Problems invalid) {
            problems.addAll(invalid.problems());
        }
        proposedValue = proposed.encode();
        if (proposedValue.size() > SettingsDocument.MAX_BYTES) {
            String allowed =
                    "a document of at most " + SettingsDocument.MAX_BYTES + " compressed bytes";
            problems.add(Problem.of("", proposedValue.size(), allowed));
        }
        if (!problems.isEmpty()) {
            return settle(new ProposalResult.Rejected(problems));
        }
        proposedNumber = proposed.number();
        state = State.SWAPPING;
        return List.of(new ProposalAction.CompareAndSwap(storeRevision, proposedValue));
    }

    /** Handles a failed swap. The intervening write may be this change, if its result was lost. */
    private List<ProposalAction> onConflict(Optional<Store.Entry> present) {
        if (present.isEmpty()) {
            return settle(new ProposalResult.Refused("the settings were deleted from the store"));
        }
        return switch (SettingsDocument.decode(present.get().value())) {
            case SettingsDocument.Result.Problems invalid ->
                    settle(
                            new ProposalResult.Refused(
                                    "the stored settings are unreadable: " + invalid.problems()));
            case SettingsDocument.Result.Read read -> {
                Optional<Long> acceptedNumber = read.document().numberOf(change.id());
                if (acceptedNumber.isPresent()) {
                    yield settle(new ProposalResult.Accepted(acceptedNumber.get(), Payload.EMPTY));
                }
                yield settle(conflict(read.document(), proposedNumber - 1));
            }
        };
    }

    private static ProposalResult conflict(SettingsDocument present, long baseNumber) {
        List<SettingsChange> since = present.changesAfter(baseNumber).orElse(present.changes());
        return new ProposalResult.Conflict(present.number(), since);
    }

    private List<ProposalAction> giveUp(String detail) {
        return settle(
                possiblyWritten
                        ? new ProposalResult.InDoubt(detail)
                        : new ProposalResult.StoreUnavailable(detail));
    }

    private List<ProposalAction> settle(ProposalResult result) {
        state = State.SETTLED;
        return List.of(new ProposalAction.Settled(result));
    }
}
