package org.orioleshed.catalog;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.orioleshed.model.ServiceId;

/**
 * A complete configuration, as operators wrote it.
 *
 * @param version the operators' version number
 * @param routes all routes, by host name and path prefix
 * @param pools all pools, by service
 * @param access who may call the routes that are not open
 * @param limits the limits on callers' requests
 */
public record Catalog(
        long version,
        Map<String, Map<String, CallRoute>> routes,
        Map<ServiceId, Pool> pools,
        AccessRule access,
        CallerLimits limits) {
    /** Copies the maps. */
    public Catalog {
        routes = Map.copyOf(routes);
        pools = Map.copyOf(pools);
    }

    /** Returns the routes by host name and path prefix, as in {@link #routes}. */
    public static Map<String, Map<String, CallRoute>> byHost(Collection<CallRoute> routes) {
        Map<String, Map<String, CallRoute>> result = new HashMap<>();
        for (CallRoute route : routes) {
            result.computeIfAbsent(route.host(), host -> new HashMap<>())
                    .put(route.prefix(), route);
        }
        return result;
    }

    /**
     * Returns the route with the longest matching prefix of {@code path}.
     *
     * @param host the host name that the caller used, without a port
     * @param path the path, without a query
     */
    public Optional<CallRoute> route(String host, String path) {
        Map<String, CallRoute> byPrefix = routes.get(host);
        if (byPrefix == null) {
            return Optional.empty();
        }
        for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
            CallRoute route = byPrefix.get(path.substring(0, end + 1));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /** Returns who may call, for the log: whether a key is needed, and what was declared. */
    String describeAccess() {
        long openRoutes =
                routes.values().stream()
                        .flatMap(byPrefix -> byPrefix.values().stream())
                        .filter(CallRoute::open)
                        .count();
        return access + " open_routes=" + openRoutes;
    }
}
