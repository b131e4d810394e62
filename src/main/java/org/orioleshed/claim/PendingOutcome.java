package org.orioleshed.claim;

import org.orioleshed.model.Outcome;
import org.orioleshed.model.RequestKey;
import org.orioleshed.model.RunId;

/**
 * The outcome of a claimed run, to be written.
 *
 * @param key the claimed key
 * @param run the run that the key was claimed for
 * @param outcome the outcome of the run
 * @param dueNanos when the outcome is written even without a claim to batch it with
 * @param onWritten called when the outcome is stored
 */
record PendingOutcome(
        RequestKey key, RunId run, Outcome outcome, long dueNanos, Runnable onWritten) {
    boolean isDue(long nowNanos) {
        return nowNanos >= dueNanos;
    }
}
