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
 * The fleet's settings, checked whole, with all inheritance resolved. Immutable.
 *
 * @param tiers the tiers by name
 * @param routes the routes
 * @param servers the backend servers
 * @param workspaces the workspaces
 * @param currentVersions the version of each route that states one
 * @param limits limits of the whole fleet
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

    /** What came of reading a tree. */
    public sealed interface Result {
        /** The tree is good. */
        record Loaded(SettingsTree tree) implements Result {}

        /** The tree is not good: all that is wrong with it. */
        record Problems(List<Problem> problems) implements Result {
            /** Copies the list. */
            public Problems {
                problems = List.copyOf(problems);
            }
        }
    }

    /** Reads a tree written as JSON with comments, and checks it whole. */
    public static Result parse(String text) {
        List<Problem> problems = new ArrayList<>();
        ObjectNode document = JsonText.parseObject(text, problems);
        return document == null ? new Result.Problems(problems) : of(document);
    }

    /** Checks a document whole and resolves it. */
    static Result of(ObjectNode document) {
        return new TreeBuilder(document).build();
    }

    /**
     * Returns the fleet snapshot that these settings make together with what else a host knows.
     *
     * @param revision the revision of these settings
     * @param hosts the membership view
     * @param leavingMarks for servers that the platform speaks of, whether they are leaving
     * @param splits the traffic split for routes with a rollout under way
     * @param movedVersions versions that finished moves brought, which go before the settings' own
     */
    public FleetSnapshot fleet(
            long revision,
            Map<HostId, EntryHost> hosts,
            Map<ServerId, Boolean> leavingMarks,
            Map<RouteId, VersionSplit> splits,
            Map<RouteId, VersionId> movedVersions) {
        Map<ServerId, BackendServer> marked = servers;
        for (Map.Entry<ServerId, Boolean> mark : leavingMarks.entrySet()) {
            BackendServer server = marked.get(mark.getKey());
            if (server == null || server.leaving() || !mark.getValue()) {
                continue;
            }
            marked = marked == servers ? new HashMap<>(servers) : marked;
            marked.put(mark.getKey(), server.withLeaving(true));
        }
        Map<RouteId, VersionId> versions = new HashMap<>(currentVersions);
        versions.putAll(movedVersions);
        return new FleetSnapshot(revision, hosts, marked, routes, workspaces, splits, versions);
    }
}
