package org.orioleshed.claim;

import org.orioleshed.model.Outcome;
import org.orioleshed.model.RequestKey;
import org.orioleshed.model.RunId;

/**
 * An outcome to be written for a claimed run.
 *
 * @param key the key that was claimed
 * @param run the run that it was claimed for
 * @param outcome what became of the run
 * @param dueNanos when it is written even if no claim is written along with it
 * @param written is run once the outcome stands in the store
 */
record PendingOutcome(RequestKey key, RunId run, Outcome outcome, long dueNanos, Runnable written) {
    boolean isDue(long nowNanos) {
        return nowNanos >= dueNanos;
    }
}
