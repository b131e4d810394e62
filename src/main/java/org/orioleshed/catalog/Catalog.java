package org.orioleshed.catalog;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.orioleshed.model.ServiceId;
import org.orioleshed.model.WorkspaceId;

/**
 * One whole configuration as operators wrote it.
 *
 * @param version the operators' number
 * @param routes all routes, by host name and prefix
 * @param pools all pools, by service
 * @param keys the workspace that holds each key
 * @param workspaces all workspaces
 * @param limits what callers may send
 */
public record Catalog(
        long version,
        Map<String, Map<String, CallRoute>> routes,
        Map<ServiceId, Pool> pools,
        Map<String, WorkspaceId> keys,
        Map<WorkspaceId, WorkspaceConfig> workspaces,
        CallerLimits limits) {
    /** Copies the maps. */
    public Catalog {
        routes = Map.copyOf(routes);
        pools = Map.copyOf(pools);
        keys = Map.copyOf(keys);
        workspaces = Map.copyOf(workspaces);
    }

    /** Returns routes as {@link #routes} holds them. */
    public static Map<String, Map<String, CallRoute>> byHost(Collection<CallRoute> all) {
        Map<String, Map<String, CallRoute>> result = new HashMap<>();
        for (CallRoute route : all) {
            result.computeIfAbsent(route.host(), host -> new HashMap<>())
                    .put(route.prefix(), route);
        }
        return result;
    }

    /**
     * Returns the route with the longest prefix that begins {@code path}.
     *
     * @param host the host name that the caller used, without a port
     * @param path the path without its query
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

    /** Returns the workspace that holds {@code key}. */
    public Optional<WorkspaceConfig> holder(String key) {
        return Optional.ofNullable(keys.get(key)).map(workspaces::get);
    }

    /** Returns whether callers need a key on routes that are not open. */
    public boolean requiresKeys() {
        return !workspaces.isEmpty();
    }
}
