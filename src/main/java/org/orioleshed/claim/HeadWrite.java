package org.orioleshed.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.orioleshed.model.Outcome;

/** Collects the claims and outcomes for one batched write of a head. */
final class HeadWrite {
    private final ClaimHead next;
    private final int maxBytes;
    private final List<PendingOutcome> outcomes = new ArrayList<>();
    private int claimCount;
    private int bytes;
    private boolean full;

    /**
     * Creates a write without changes.
     *
     * @param next the head to be written, with a mutable map of records
     * @param maxBytes the maximum size of the head, in bytes
     */
    HeadWrite(ClaimHead next, int maxBytes) {
        this.next = next;
        this.maxBytes = maxBytes;
        this.bytes = next.bytes();
    }

    /** Adds a claim, unless the head is full. */
    void addClaim(PendingClaim claim) {
        if (put(recordOf(claim))) {
            claimCount++;
        }
    }

    private ClaimRecord recordOf(PendingClaim claim) {
        return new ClaimRecord(
                claim.key, claim.run.orElseThrow(), next.clockMillis(), Optional.empty());
    }

    /** Adds an outcome, unless the head is full; ignores it if another run holds the key by now. */
    void addOutcome(PendingOutcome outcome) {
        ClaimRecord present = next.records().get(outcome.key());
        if (isReplaced(present, outcome)) {
            outcomes.add(outcome);
            return;
        }
        ClaimRecord base = present != null ? present : recordOf(outcome);
        if (put(base.with(outcome.outcome()))) {
            outcomes.add(outcome);
        }
    }

    /**
     * Returns whether the claim of an outcome may have been replaced. If the head has no record of
     * the key, a claim with outcome "not run" may have been replaced by one that has since moved to
     * a page, which a new record in the head would hide. The next run that claims the key requests
     * the status from the host instead.
     */
    private static boolean isReplaced(ClaimRecord present, PendingOutcome outcome) {
        return present == null
                ? outcome.outcome() instanceof Outcome.NotRun
                : !present.run().equals(outcome.run());
    }

    private ClaimRecord recordOf(PendingOutcome outcome) {
        return new ClaimRecord(outcome.key(), outcome.run(), next.clockMillis(), Optional.empty());
    }

    private boolean put(ClaimRecord record) {
        ClaimRecord present = next.records().get(record.key());
        int addedBytes = record.bytes() - (present == null ? 0 : present.bytes());
        if (bytes + addedBytes > maxBytes) {
            full = true;
            return false;
        }
        bytes += addedBytes;
        next.records().put(record.key(), record);
        return true;
    }

    /** Returns whether the write is due without waiting for more operations to batch. */
    boolean isDue(long nowNanos) {
        return claimCount > 0 || outcomes.stream().anyMatch(outcome -> outcome.isDue(nowNanos));
    }

    /** Returns whether a claim or outcome did not fit. */
    boolean isFull() {
        return full;
    }

    ClaimHead head() {
        return next;
    }

    /** Returns the outcomes that are settled when the head is written. */
    List<PendingOutcome> outcomes() {
        return outcomes;
    }
}
