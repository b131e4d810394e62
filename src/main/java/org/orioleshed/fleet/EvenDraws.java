package org.orioleshed.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.orioleshed.model.RouteId;

/**
 * A low-discrepancy sequence of numbers from 0 (inclusive) to 1 (exclusive) for each route: among
 * any few consecutive draws, the fraction below a share is close to that share. A split by
 * independent draws would occasionally send far more than its share.
 */
public final class EvenDraws {
    /** The fractional part of the golden ratio, whose multiples modulo 1 leave no large gaps. */
    private static final double STEP = 0.6180339887498949;

    private final RandomGenerator random;
    private final Map<RouteId, Double> lastByRoute = new HashMap<>();

    /**
     * Creates a source of draws.
     *
     * @param random supplies the first draw of each route, so that hosts differ
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
