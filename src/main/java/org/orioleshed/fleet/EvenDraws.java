package org.orioleshed.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.orioleshed.model.RouteId;

/**
 * Numbers from 0 (inclusive) to 1 (exclusive) that are spread evenly: among any few draws in a row
 * for one route, about as many lie below a share as the share says. A split by independent draws
 * would now and then send far more than its share.
 */
public final class EvenDraws {
    /** The fractional part of the golden ratio: its multiples leave no large gaps. */
    private static final double STEP = 0.6180339887498949;

    private final RandomGenerator random;
    private final Map<RouteId, Double> lastByRoute = new HashMap<>();

    /**
     * Makes a source of draws.
     *
     * @param random gives each route its first draw, so that hosts differ
     */
    public EvenDraws(RandomGenerator random) {
        if (random == null) {
            throw new IllegalArgumentException("random must be given");
        }
        this.random = random;
    }

    /** Returns the next draw for {@code route}. */
    public double next(RouteId route) {
        Double last = lastByRoute.get(route);
        double next = last == null ? random.nextDouble() : (last + STEP) % 1;
        lastByRoute.put(route, next);
        return next;
    }
}
