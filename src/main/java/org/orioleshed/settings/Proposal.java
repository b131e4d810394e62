package org.orioleshed.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.orioleshed.model.Machine;
import org.orioleshed.model.Payload;
import org.orioleshed.store.Store;

/**
 * Brings one change into the store: read, check the tree whole, one compare-and-swap. A lost answer
 * is settled by reading back the change's id. The same swap may be repeated safely, since it names
 * the revision that it replaces.
 */
public final class Proposal implements Machine<ProposalEvent, ProposalAction> {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long RETRY_NANOS = 100 * NANOS_PER_MILLI;

    private enum Step {
        READ,
        WAIT_READ,
        WAIT_SWAP,
        SETTLED
    }

    private final ProposedChange change;
    private final long inForceNumber;
    private final long atMillis;
    private final long deadlineNanos;
    private Step step = Step.READ;
    private long retryNanos;
    private boolean mayBeWritten;
    private long number;
    private Payload value = Payload.EMPTY;

    /**
     * Makes one.
     *
     * @param change what is wanted
     * @param inForceNumber the revision in force at this host
     * @param atMillis the time on the wall clock, in milliseconds since 1970
     * @param deadlineNanos when to give up, on the monotonic clock
     */
    public Proposal(ProposedChange change, long inForceNumber, long atMillis, long deadlineNanos) {
        this.change = change;
        this.inForceNumber = inForceNumber;
        this.atMillis = atMillis;
        this.deadlineNanos = deadlineNanos;
    }

    @Override
    public List<ProposalAction> on(long nowNanos, ProposalEvent event) {
        return switch (event) {
            case ProposalEvent.Tick tick -> tick(nowNanos);
            case ProposalEvent.StoreAnswered answered -> answered(nowNanos, answered.result());
        };
    }

    private List<ProposalAction> tick(long nowNanos) {
        if (step != Step.READ || nowNanos < retryNanos) {
            return List.of();
        }
        if (nowNanos >= deadlineNanos) {
            return giveUp("no answer in time");
        }
        step = Step.WAIT_READ;
        return List.of(new ProposalAction.ReadStore());
    }

    private List<ProposalAction> answered(long nowNanos, Store.Result result) {
        boolean reading = step == Step.WAIT_READ;
        if (!reading && step != Step.WAIT_SWAP) {
            return List.of();
        }
        return switch (result) {
            case Store.Result.Entries entries when reading ->
                    judge(entries.entries().stream().findFirst());
            case Store.Result.Swapped swapped when !reading ->
                    settle(new ProposalResult.Accepted(number, value));
            case Store.Result.Conflict conflict when !reading -> lost(conflict.present());
            case Store.Result.Unknown unknown -> {
                mayBeWritten |= !reading;
                yield retry(nowNanos);
            }
            case Store.Result.Unavailable away when !mayBeWritten -> giveUp(away.detail());
            default -> retry(nowNanos);
        };
    }

    private List<ProposalAction> retry(long nowNanos) {
        step = Step.READ;
        retryNanos = nowNanos + RETRY_NANOS;
        return List.of();
    }

    private List<ProposalAction> judge(Optional<Store.Entry> entry) {
        if (entry.isEmpty()) {
            return settle(new ProposalResult.Refused("the store has no settings"));
        }
        return switch (SettingsDocument.decode(entry.get().value())) {
            case SettingsDocument.Result.Problems bad ->
                    settle(new ProposalResult.Refused("unreadable: " + bad.problems()));
            case SettingsDocument.Result.Read good ->
                    build(good.document(), entry.get().revision());
        };
    }

    private List<ProposalAction> build(SettingsDocument present, long storeRevision) {
        Optional<Long> done = present.numberOf(change.id());
        if (done.isPresent()) {
            return settle(new ProposalResult.Accepted(done.get(), Payload.EMPTY));
        }
        if (present.number() < inForceNumber) {
            String detail = "the store holds revision " + present.number() + ", older than ";
            return settle(
                    new ProposalResult.Refused(detail + inForceNumber + " which is in force"));
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
            case SettingsDocument.Result.Problems bad ->
                    settle(new ProposalResult.Rejected(bad.problems()));
            case SettingsDocument.Result.Read good -> swap(good.document(), storeRevision);
        };
    }

    private List<ProposalAction> swap(SettingsDocument wanted, long storeRevision) {
        List<Problem> problems = new ArrayList<>();
        if (wanted.check() instanceof SettingsTree.Result.Problems bad) {
            problems.addAll(bad.problems());
        }
        value = wanted.encode();
        if (value.size() > SettingsDocument.MAX_BYTES) {
            String allowed = "a tree of at most " + SettingsDocument.MAX_BYTES + " bytes, packed";
            problems.add(Problem.of("", value.size(), allowed));
        }
        if (!problems.isEmpty()) {
            return settle(new ProposalResult.Rejected(problems));
        }
        number = wanted.number();
        step = Step.WAIT_SWAP;
        return List.of(new ProposalAction.SwapStore(storeRevision, value));
    }

    /** Another write came between; it may have been this very change, whose answer was lost. */
    private List<ProposalAction> lost(Optional<Store.Entry> present) {
        if (present.isEmpty()) {
            return settle(new ProposalResult.Refused("the store has no settings any more"));
        }
        return switch (SettingsDocument.decode(present.get().value())) {
            case SettingsDocument.Result.Problems bad ->
                    settle(new ProposalResult.Refused("unreadable: " + bad.problems()));
            case SettingsDocument.Result.Read good -> {
                Optional<Long> done = good.document().numberOf(change.id());
                if (done.isPresent()) {
                    yield settle(new ProposalResult.Accepted(done.get(), Payload.EMPTY));
                }
                yield settle(conflict(good.document(), number - 1));
            }
        };
    }

    private static ProposalResult conflict(SettingsDocument present, long seen) {
        List<SettingsChange> since = present.changesAfter(seen).orElse(present.changes());
        return new ProposalResult.Conflict(present.number(), since);
    }

    private List<ProposalAction> giveUp(String detail) {
        return settle(
                mayBeWritten
                        ? new ProposalResult.InDoubt(detail)
                        : new ProposalResult.StoreAway(detail));
    }

    private List<ProposalAction> settle(ProposalResult result) {
        step = Step.SETTLED;
        return List.of(new ProposalAction.Settled(result));
    }
}
