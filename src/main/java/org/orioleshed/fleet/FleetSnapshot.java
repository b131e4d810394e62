package org.orioleshed.fleet;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.orioleshed.model.HostId;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.VersionId;
import org.orioleshed.model.WorkspaceId;

/**
 * One entry host's view of the fleet at one moment: its membership view, the settings in force, and
 * the traffic split between versions. Immutable; each change creates a new snapshot.
 *
 * @param settingsRevision the revision of the settings in force; zero if there are none yet
 * @param hosts the entry hosts of the membership view, without dead ones
 * @param servers the backend servers
 * @param routes the routes
 * @param workspaces the workspaces
 * @param splits the traffic split of each route with a rollout in progress
 * @param currentVersions the version to use for each route without a rollout in progress; a missing
 *     route accepts any version
 */
public record FleetSnapshot(
        long settingsRevision,
        Map<HostId, EntryHost> hosts,
        Map<ServerId, BackendServer> servers,
        Map<RouteId, Route> routes,
        Map<WorkspaceId, Workspace> workspaces,
        Map<RouteId, VersionSplit> splits,
        Map<RouteId, VersionId> currentVersions) {
    /** The fleet snapshot of a host that has received no settings and no membership view. */
    public static final FleetSnapshot EMPTY =
            new FleetSnapshot(0, Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Map.of());

    /** Copies the maps. */
    public FleetSnapshot {
        hosts = Map.copyOf(hosts);
        servers = Map.copyOf(servers);
        routes = Map.copyOf(routes);
        workspaces = Map.copyOf(workspaces);
        splits = Map.copyOf(splits);
        currentVersions = Map.copyOf(currentVersions);
    }

    /**
     * Returns the version for one request on {@code route}; empty if any version is allowed.
     *
     * @param draw a number drawn uniformly from 0 (inclusive) to 1 (exclusive)
     */
    public Optional<VersionId> version(RouteId route, double draw) {
        VersionSplit split = splits.get(route);
        if (split != null) {
            return Optional.of(split.choose(draw));
        }
        return Optional.ofNullable(currentVersions.get(route));
    }

    /**
     * Returns the servers that run {@code target}, including leaving ones, in no particular order.
     */
    public List<BackendServer> serversOf(Target target) {
        return servers.values().stream().filter(s -> s.target().equals(target)).toList();
    }
}
