package org.orioleshed.dispatch;

import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;

/**
 * The evidence that a host observed of one server on one route in a rollout, as reported to a new
 * primary.
 *
 * @param server the server
 * @param route the route
 * @param isNew whether the server runs the new version
 * @param sent the number of requests sent
 * @param answers the number of runs that ended
 * @param faults the number of these that failed
 * @param samples the number of measured times
 * @param logSum the sum of the logarithms of these times relative to the expected time
 * @param logSquares the sum of the squares of these logarithms
 */
public record RolloutTally(
        ServerId server,
        RouteId route,
        boolean isNew,
        int sent,
        int answers,
        int faults,
        int samples,
        double logSum,
        double logSquares) {
    /** Checks the counts. */
    public RolloutTally {
        boolean validCounts = sent >= 0 && answers >= faults && faults >= 0 && samples >= 0;
        if (!validCounts || !Double.isFinite(logSum) || !Double.isFinite(logSquares)) {
            throw new IllegalArgumentException(
                    "invalid counts or sums in the tally of server " + server);
        }
    }
}
