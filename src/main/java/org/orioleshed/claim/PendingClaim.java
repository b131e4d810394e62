package org.orioleshed.claim;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.orioleshed.model.RequestKey;
import org.orioleshed.model.RunId;
import org.orioleshed.request.Claims;

/** A claim, or a look-up, that is not settled yet. */
final class PendingClaim {
    final RequestKey key;

    /** The run to claim for; empty when the key is only looked up. */
    final Optional<RunId> run;

    final Optional<RunId> replaces;

    /** Whether the run is this host's, so that nobody else sends it. */
    final boolean own;

    final long untilNanos;
    final Settled settled;

    /** The head must be read after this number to tell what another run did. */
    final long registered;

    /** Generations of pages that hold nothing in the way of the claim. */
    final Set<Long> cleared = new HashSet<>();

    /** Hears the result, once. */
    interface Settled {
        void settled(long nowNanos, Claims.Result result);
    }

    PendingClaim(
            RequestKey key,
            Optional<RunId> run,
            Optional<RunId> replaces,
            boolean own,
            long untilNanos,
            long registered,
            Settled settled) {
        this.key = key;
        this.run = run;
        this.replaces = replaces;
        this.own = own;
        this.untilNanos = untilNanos;
        this.registered = registered;
        this.settled = settled;
    }

    /** Returns whether {@code present} is of this claim's own run. */
    boolean isOf(ClaimRecord present) {
        return run.filter(present.run()::equals).isPresent();
    }

    /** Returns whether {@code present} is of the run that this claim may replace. */
    boolean mayReplace(ClaimRecord present) {
        return replaces.filter(present.run()::equals).isPresent();
    }
}
