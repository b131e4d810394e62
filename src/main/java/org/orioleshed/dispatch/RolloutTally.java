package org.orioleshed.dispatch;

import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;

/**
 * What a host saw of one server's answers on one route in a rollout, as hosts tell it to a new
 * primary.
 *
 * @param server the server
 * @param route the route
 * @param isNew whether the server is of the new version
 * @param sent requests that were sent
 * @param answers how many of them ended
 * @param faults how many of these failed
 * @param samples times that were measured
 * @param logSum the sum of the logarithms of these times against what is usual
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
        boolean counts = sent >= 0 && answers >= faults && faults >= 0 && samples >= 0;
        if (!counts || !Double.isFinite(logSum) || !Double.isFinite(logSquares)) {
            throw new IllegalArgumentException("no tally: " + server);
        }
    }
}
