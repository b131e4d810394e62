package org.orioleshed.claim;

import java.util.Optional;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.RequestKey;
import org.orioleshed.model.RunId;
import org.orioleshed.request.Claims;

/**
 * One claim.
 *
 * @param key the key claimed
 * @param run the run that it is claimed for; names the host, its incarnation and the attempt
 * @param atMillis when it was claimed, on the bucket's clock
 * @param outcome the run's outcome, once recorded
 */
record ClaimRecord(RequestKey key, RunId run, long atMillis, Optional<Outcome> outcome) {
    /** What a record takes besides its texts, in bytes; an upper bound. */
    private static final int FIXED_BYTES = 64;

    /** Returns an upper bound of the record's encoded size. */
    int bytes() {
        return FIXED_BYTES
                + 3 * key.workspace().value().length()
                + 3 * key.key().length()
                + 3 * run.request().host().value().length()
                + outcome.map(ClaimRecord::bytes).orElse(0);
    }

    ClaimRecord with(Outcome other) {
        return new ClaimRecord(key, run, atMillis, Optional.of(other));
    }

    /** Returns the answer to another run that asks for the key. */
    Claims.Result taken() {
        return new Claims.Result.Taken(run, outcome);
    }

    private static int bytes(Outcome outcome) {
        return switch (outcome) {
            case Outcome.Answered answered -> FIXED_BYTES + answered.body().size();
            case Outcome.Failed failed -> FIXED_BYTES + 3 * failed.detail().length();
            case Outcome.NotRun notRun -> FIXED_BYTES;
            case Outcome.InDoubt doubt -> FIXED_BYTES + 3 * doubt.detail().length();
        };
    }
}
