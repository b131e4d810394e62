package org.orioleshed.claim;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.orioleshed.model.RequestKey;
import org.orioleshed.model.RunId;
import org.orioleshed.request.Claims;

/** A claim or lookup that is not settled yet. */
final class PendingClaim {
    final RequestKey key;

    /** The run to claim the key for; empty for a lookup. */
    final Optional<RunId> run;

    final Optional<RunId> replaces;

    /** Whether the run belongs to this host, so that no other host sends it. */
    final boolean local;

    final long deadlineNanos;
    final Settled settled;

    /** The sequence number of the claim or lookup; see {@link BucketQueue}. */
    final long sequenceNumber;

    /** The generations of the pages that were found not to prevent the claim. */
    final Set<Long> cleared = new HashSet<>();

    /** Receives the result, once. */
    interface Settled {
        void settled(long nowNanos, Claims.Result result);
    }

    PendingClaim(
            RequestKey key,
            Optional<RunId> run,
            Optional<RunId> replaces,
            boolean local,
            long deadlineNanos,
            long sequenceNumber,
            Settled settled) {
        this.key = key;
        this.run = run;
        this.replaces = replaces;
        this.local = local;
        this.deadlineNanos = deadlineNanos;
        this.sequenceNumber = sequenceNumber;
        this.settled = settled;
    }

    /** Returns whether {@code present} is the record of this claim's run. */
    boolean isOf(ClaimRecord present) {
        return run.filter(present.run()::equals).isPresent();
    }

    /** Returns whether {@code present} is the record of the run that this claim may replace. */
    boolean mayReplace(ClaimRecord present) {
        return replaces.filter(present.run()::equals).isPresent();
    }
}
