package org.orioleshed.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.orioleshed.model.Outcome;

/** One write of a head under preparation: the claims and outcomes that go into it together. */
final class HeadWrite {
    private final ClaimHead next;
    private final int maxBytes;
    private final List<PendingOutcome> ends = new ArrayList<>();
    private int claims;
    private int bytes;
    private boolean full;

    /**
     * Prepares a write that changes nothing yet.
     *
     * @param next the head to be written, with a map of records that may be added to
     * @param maxBytes how large the head may grow, in bytes
     */
    HeadWrite(ClaimHead next, int maxBytes) {
        this.next = next;
        this.maxBytes = maxBytes;
        this.bytes = next.bytes();
    }

    /** Adds a claim, unless the head is full. */
    void claim(PendingClaim claim) {
        if (put(recordOf(claim))) {
            claims++;
        }
    }

    private ClaimRecord recordOf(PendingClaim claim) {
        return new ClaimRecord(
                claim.key, claim.run.orElseThrow(), next.clockMillis(), Optional.empty());
    }

    /** Adds an outcome, unless the head is full; it has no effect once another run has the key. */
    void end(PendingOutcome outcome) {
        ClaimRecord present = next.records().get(outcome.key());
        if (isReplaced(present, outcome)) {
            ends.add(outcome);
            return;
        }
        ClaimRecord base = present != null ? present : recordOf(outcome);
        if (put(base.with(outcome.outcome()))) {
            ends.add(outcome);
        }
    }

    /**
     * A claim "not run" may have been replaced by one that moved to a page since: a record anew
     * would hide that one. The key's next claimant asks the host instead.
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
        int more = record.bytes() - (present == null ? 0 : present.bytes());
        if (bytes + more > maxBytes) {
            full = true;
            return false;
        }
        bytes += more;
        next.records().put(record.key(), record);
        return true;
    }

    /** Returns whether the write need not wait for more to go with it. */
    boolean isDue(long nowNanos) {
        return claims > 0 || ends.stream().anyMatch(end -> end.isDue(nowNanos));
    }

    /** Returns whether something did not fit. */
    boolean isFull() {
        return full;
    }

    ClaimHead head() {
        return next;
    }

    /** Returns the outcomes that are settled once the head is written. */
    List<PendingOutcome> ends() {
        return ends;
    }
}
