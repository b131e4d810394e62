package org.orioleshed.gateway;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import org.orioleshed.model.RouteId;

/** How long the answered requests of each route took here lately. */
final class RouteTimes {
    private static final int MAX_ROUTES = 512;
    private static final int REQUESTS_KEPT = 128;
    private static final int LEAST_REQUESTS = 16;
    private static final double SLOW = 0.98;

    private final Map<RouteId, Recent> routes = new LinkedHashMap<>(16, 0.75f, true);

    private static final class Recent {
        private final long[] millis = new long[REQUESTS_KEPT];
        private int count;

        private void add(long tookMillis) {
            millis[count % REQUESTS_KEPT] = tookMillis;
            count++;
        }

        private long slowMillis() {
            int known = Math.min(count, REQUESTS_KEPT);
            if (known < LEAST_REQUESTS) {
                return Long.MAX_VALUE;
            }
            long[] sorted = Arrays.copyOf(millis, known);
            Arrays.sort(sorted);
            return sorted[(int) Math.ceil(SLOW * known) - 1];
        }
    }

    /**
     * Notes an answered request.
     *
     * @param tookMillis from its arrival to the end of its answer, in milliseconds
     */
    void add(RouteId route, long tookMillis) {
        routes.computeIfAbsent(route, key -> new Recent()).add(tookMillis);
        if (routes.size() > MAX_ROUTES) {
            routes.remove(routes.keySet().iterator().next());
        }
    }

    /**
     * Returns the time that 98 in 100 requests of a route stayed within, in milliseconds; the
     * greatest number where too few were seen.
     */
    long slowMillis(RouteId route) {
        Recent recent = routes.get(route);
        return recent == null ? Long.MAX_VALUE : recent.slowMillis();
    }
}
