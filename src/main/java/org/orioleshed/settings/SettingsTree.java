package org.orioleshed.settings;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.fleet.Route;
import org.orioleshed.fleet.VersionSplit;
import org.orioleshed.fleet.Workspace;
import org.orioleshed.model.HostId;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.Tier;
import org.orioleshed.model.VersionId;
import org.orioleshed.model.WorkspaceId;

/**
 * The validated settings of the fleet, with all inheritance resolved. Immutable.
 *
 * @param tiers the tiers by name
 * @param routes the routes
 * @param servers the backend servers
 * @param workspaces the workspaces
 * @param currentVersions the configured version of each route that has one
 * @param limits limits that apply to the whole fleet
 */
public record SettingsTree(
        Map<String, Tier> tiers,
        Map<RouteId, Route> routes,
        Map<ServerId, BackendServer> servers,
        Map<WorkspaceId, Workspace> workspaces,
        Map<RouteId, VersionId> currentVersions,
        Limits limits) {
    /** Copies the maps. */
    public SettingsTree {
        tiers = Map.copyOf(tiers);
        routes = Map.copyOf(routes);
        servers = Map.copyOf(servers);
        workspaces = Map.copyOf(workspaces);
        currentVersions = Map.copyOf(currentVersions);
    }

    /** The result of reading a tree. */
    public sealed interface Result {
        /** The tree is valid. */
        record Loaded(SettingsTree tree) implements Result {}

        /** The tree is invalid; lists every problem found. */
        record Problems(List<Problem> problems) implements Result {
            /** Copies the list. */
            public Problems {
                problems = List.copyOf(problems);
            }
        }
    }

    /** Parses and validates a tree written as JSON with comments. */
    public static Result parse(String text) {
        List<Problem> problems = new ArrayList<>();
        ObjectNode document = JsonText.parseObject(text, problems);
        return document == null ? new Result.Problems(problems) : of(document);
    }

    /** Validates and resolves a complete document. */
    static Result of(ObjectNode document) {
        return new TreeBuilder(document).build();
    }

    /**
     * Returns the fleet snapshot that combines these settings with the other state of a host.
     *
     * @param revision the revision of these settings
     * @param hosts the membership view
     * @param leavingMarks for servers reported by the platform, whether they are leaving
     * @param splits the traffic split of each route with a rollout in progress
     * @param rolledOutVersions versions set by completed rollouts, which override the configured
     *     ones
     */
    public FleetSnapshot fleet(
            long revision,
            Map<HostId, EntryHost> hosts,
            Map<ServerId, Boolean> leavingMarks,
            Map<RouteId, VersionSplit> splits,
            Map<RouteId, VersionId> rolledOutVersions) {
        Map<ServerId, BackendServer> updatedServers = servers;
        for (Map.Entry<ServerId, Boolean> mark : leavingMarks.entrySet()) {
            BackendServer server = updatedServers.get(mark.getKey());
            if (server == null || server.leaving() || !mark.getValue()) {
                continue;
            }
            updatedServers = updatedServers == servers ? new HashMap<>(servers) : updatedServers;
            updatedServers.put(mark.getKey(), server.withLeaving(true));
        }
        Map<RouteId, VersionId> versions = new HashMap<>(currentVersions);
        versions.putAll(rolledOutVersions);
        return new FleetSnapshot(
                revision, hosts, updatedServers, routes, workspaces, splits, versions);
    }
}
