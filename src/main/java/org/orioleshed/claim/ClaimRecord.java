package org.orioleshed.claim;

import java.util.Optional;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.RequestKey;
import org.orioleshed.model.RunId;
import org.orioleshed.request.Claims;

/**
 * A claim on a key.
 *
 * @param key the claimed key
 * @param run the run that the key is claimed for; contains the host, its incarnation and the
 *     attempt
 * @param atMillis the time of the claim on the bucket's clock, in milliseconds
 * @param outcome the run's outcome, once recorded
 */
record ClaimRecord(RequestKey key, RunId run, long atMillis, Optional<Outcome> outcome) {
    /** An upper bound of the encoded size of a record without its texts. */
    private static final int FIXED_BYTES = 64;

    /** Returns an upper bound of the record's encoded size. */
    int bytes() {
        return FIXED_BYTES
                + 3 * key.workspace().value().length()
                + 3 * key.key().length()
                + 3 * run.request().host().value().length()
                + outcome.map(ClaimRecord::bytes).orElse(0);
    }

    ClaimRecord with(Outcome newOutcome) {
        return new ClaimRecord(key, run, atMillis, Optional.of(newOutcome));
    }

    /** Returns the result for another run that claims the key. */
    Claims.Result taken() {
        return new Claims.Result.Taken(run, outcome);
    }

    private static int bytes(Outcome outcome) {
        return switch (outcome) {
            case Outcome.Answered answered -> FIXED_BYTES + answered.body().size();
            case Outcome.Failed failed -> FIXED_BYTES + 3 * failed.detail().length();
            case Outcome.NotRun notRun -> FIXED_BYTES;
            case Outcome.InDoubt inDoubt -> FIXED_BYTES + 3 * inDoubt.detail().length();
        };
    }
}
