package org.orioleshed.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.Ordering;
import java.net.URI;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.fleet.PatienceWindow;
import org.orioleshed.fleet.Route;
import org.orioleshed.fleet.Target;
import org.orioleshed.fleet.Workspace;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.ModelId;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.ServiceId;
import org.orioleshed.model.Tier;
import org.orioleshed.model.VersionId;
import org.orioleshed.model.WorkspaceId;
import org.orioleshed.settings.FieldType.Group;
import org.orioleshed.settings.FieldType.TreeOf;

/** Checks one document of the tree and makes its typed form. */
final class TreeBuilder {
    private static final TreeOf SERVERS = (TreeOf) Schema.TREE.field("servers").type();
    private static final TreeOf WORKSPACES = (TreeOf) Schema.TREE.field("workspaces").type();
    private static final Group TIER =
            (Group) ((FieldType.MapOf) Schema.TREE.field("tiers").type()).value();
    private static final Group PATIENCE = (Group) WORKSPACES.item().field("patience").type();
    private static final Group LIMITS = (Group) Schema.TREE.field("limits").type();

    private final ObjectNode document;
    private final List<Problem> problems = new ArrayList<>();
    private final SchemaCheck check = new SchemaCheck(problems);
    private final Map<String, Tier> tiers = new HashMap<>();
    private final Map<Tier, Long> deadlines = new HashMap<>();
    private final Map<Object, Object> shared = new HashMap<>();

    TreeBuilder(ObjectNode document) {
        this.document = Inheritance.withDefaults(Schema.TREE, document);
        check.check(Schema.TREE, document, "", SchemaCheck.Extent.WHOLE);
    }

    /** Lets new items share the values that they have in common with items of an earlier tree. */
    void shareWith(Collection<BackendServer> servers, Collection<Workspace> workspaces) {
        for (BackendServer server : servers) {
            share(server.domain());
            share(server.target());
            share(server.version());
            share(server.generation());
        }
        for (Workspace workspace : workspaces) {
            share(workspace.tiers());
            share(workspace.patience());
        }
    }

    SettingsTree.Result build() {
        if (!problems.isEmpty()) {
            return new SettingsTree.Result.Problems(problems);
        }
        buildTiers();
        Map<RouteId, Route> routes = buildRoutes();
        Map<ServerId, BackendServer> servers = buildServers();
        Map<WorkspaceId, Workspace> workspaces = buildWorkspaces();
        Map<RouteId, VersionId> versions = buildVersions(routes);
        Limits limits = buildLimits();
        if (!problems.isEmpty()) {
            return new SettingsTree.Result.Problems(problems);
        }
        return new SettingsTree.Result.Loaded(
                new SettingsTree(tiers, routes, servers, workspaces, versions, limits));
    }

    private void buildTiers() {
        Map<Integer, String> nameByRank = new HashMap<>();
        for (Map.Entry<String, JsonNode> entry : document.get("tiers").properties()) {
            JsonNode values = Inheritance.withDefaults(TIER, (ObjectNode) entry.getValue());
            Tier tier = new Tier(entry.getKey(), values.get("rank").intValue());
            tiers.put(tier.name(), tier);
            deadlines.put(tier, values.get("deadlineMillis").longValue());
            String other = nameByRank.put(tier.rank(), tier.name());
            if (other != null) {
                String path = JsonText.below("/tiers", tier.name()) + "/rank";
                problems.add(Problem.of(path, tier.rank(), "a rank of its own: as " + other));
            }
        }
    }

    private Map<RouteId, Route> buildRoutes() {
        Map<RouteId, Route> routes = new HashMap<>();
        for (Map.Entry<String, JsonNode> entry : document.get("routes").properties()) {
            String path = JsonText.below("/routes", entry.getKey());
            Target target = target(entry.getValue(), path);
            if (target == null) {
                continue;
            }
            Map<String, Boolean> calls = new HashMap<>();
            for (Map.Entry<String, JsonNode> call : entry.getValue().path("calls").properties()) {
                calls.put(call.getKey(), call.getValue().path("repeatable").asBoolean(false));
            }
            RouteId id = new RouteId(entry.getKey());
            routes.put(id, new Route(id, target, calls));
        }
        return routes;
    }

    private Target target(JsonNode values, String path) {
        boolean model = values.hasNonNull("model");
        if (model == values.hasNonNull("service")) {
            problems.add(Problem.of(path, values, "exactly one of model, service"));
            return null;
        }
        return model
                ? new Target.Model(new ModelId(values.get("model").textValue()))
                : new Target.Service(new ServiceId(values.get("service").textValue()));
    }

    private Map<ServerId, BackendServer> buildServers() {
        Map<ServerId, BackendServer> servers = new HashMap<>();
        for (Inheritance.Resolved item :
                Inheritance.resolve(SERVERS, document.get("servers"), "/servers", problems)) {
            int before = problems.size();
            check.checkNothingMissing(SERVERS.item(), item.values(), item.path());
            Target target = target(item.values(), item.path());
            if (problems.size() == before) {
                servers.put(new ServerId(item.id()), buildServer(item, target));
            }
        }
        return servers;
    }

    /** Returns the items of all branches with what they inherit; problems are left out. */
    static List<Inheritance.Resolved> resolvedItems(ObjectNode tree) {
        List<Problem> ignored = new ArrayList<>();
        List<Inheritance.Resolved> items = new ArrayList<>();
        items.addAll(Inheritance.resolve(SERVERS, tree.path("servers"), "/servers", ignored));
        items.addAll(
                Inheritance.resolve(WORKSPACES, tree.path("workspaces"), "/workspaces", ignored));
        return items;
    }

    private BackendServer buildServer(Inheritance.Resolved item, Target target) {
        JsonNode values = item.values();
        return new BackendServer(
                new ServerId(item.id()),
                share(new FailureDomain(values.get("domain").textValue())),
                URI.create(values.get("address").textValue()),
                share(target),
                share(new VersionId(values.get("version").textValue())),
                share(values.get("generation").textValue()),
                values.get("places").intValue(),
                values.get("cacheTokens").longValue(),
                values.get("canResume").booleanValue(),
                values.get("checksFencing").booleanValue(),
                values.get("leaving").booleanValue());
    }

    private Map<WorkspaceId, Workspace> buildWorkspaces() {
        Map<WorkspaceId, Workspace> workspaces = new HashMap<>();
        Map<String, String> pathByKey = new HashMap<>();
        for (Inheritance.Resolved item :
                Inheritance.resolve(
                        WORKSPACES, document.get("workspaces"), "/workspaces", problems)) {
            int before = problems.size();
            check.checkNothingMissing(WORKSPACES.item(), item.values(), item.path());
            checkPatience(item);
            checkKeys(item, pathByKey);
            Map<Tier, Long> allowed = workspaceTiers(item);
            Tier defaultTier = defaultTier(item, allowed);
            if (problems.size() == before) {
                WorkspaceId id = new WorkspaceId(item.id());
                workspaces.put(id, buildWorkspace(id, item.values(), allowed, defaultTier));
            }
        }
        return workspaces;
    }

    private void checkPatience(Inheritance.Resolved item) {
        JsonNode patience = item.values().get("patience");
        if (patience != null) {
            check.checkNothingMissing(PATIENCE, patience, JsonText.below(item.path(), "patience"));
        }
    }

    private void checkKeys(Inheritance.Resolved item, Map<String, String> pathByKey) {
        for (JsonNode hash : item.values().path("keyHashes")) {
            String other = pathByKey.put(hash.textValue(), item.path());
            if (other != null) {
                String path = JsonText.below(item.path(), "keyHashes");
                problems.add(Problem.of(path, hash, "a key of one workspace only: as " + other));
            }
        }
    }

    private Map<Tier, Long> workspaceTiers(Inheritance.Resolved item) {
        Map<Tier, Long> allowed = new HashMap<>(deadlines);
        String path = JsonText.below(item.path(), "tiers");
        for (Map.Entry<String, JsonNode> entry : item.values().path("tiers").properties()) {
            Tier tier = tiers.get(entry.getKey());
            if (tier == null) {
                String below = JsonText.below(path, entry.getKey());
                problems.add(Problem.unknownName(below, entry.getKey(), known()));
                continue;
            }
            if (!entry.getValue().path("allowed").asBoolean(true)) {
                allowed.remove(tier);
                continue;
            }
            JsonNode deadline = entry.getValue().get("deadlineMillis");
            if (deadline != null) {
                allowed.put(tier, deadline.longValue());
            }
        }
        return share(Map.copyOf(allowed));
    }

    private Tier defaultTier(Inheritance.Resolved item, Map<Tier, Long> allowed) {
        String name = item.values().get("defaultTier").textValue();
        Tier tier = tiers.get(name);
        if (tier == null || !allowed.containsKey(tier)) {
            String path = JsonText.below(item.path(), "defaultTier");
            problems.add(Problem.unknownName(path, name, known()));
        }
        return tier;
    }

    private Iterable<String> known() {
        return new TreeSet<>(tiers.keySet());
    }

    private Workspace buildWorkspace(
            WorkspaceId id, JsonNode values, Map<Tier, Long> allowed, Tier defaultTier) {
        List<String> keyHashes = new ArrayList<>();
        values.path("keyHashes").forEach(hash -> keyHashes.add(hash.textValue()));
        return new Workspace(
                id,
                keyHashes,
                values.get("weight").intValue(),
                allowed,
                defaultTier,
                values.get("maxWaiting").intValue(),
                values.get("maxOutputTokens").intValue(),
                share(Optional.ofNullable(values.get("patience")).map(TreeBuilder::window)));
    }

    private static PatienceWindow window(JsonNode values) {
        return new PatienceWindow(
                LocalTime.parse(values.get("start").textValue()),
                LocalTime.parse(values.get("end").textValue()),
                ZoneId.of(values.get("zone").textValue()));
    }

    private Map<RouteId, VersionId> buildVersions(Map<RouteId, Route> routes) {
        Map<RouteId, VersionId> versions = new HashMap<>();
        List<String> known = routes.keySet().stream().map(RouteId::value).sorted().toList();
        for (Map.Entry<String, JsonNode> entry : document.get("currentVersions").properties()) {
            RouteId route = new RouteId(entry.getKey());
            if (!routes.containsKey(route)) {
                String path = JsonText.below("/currentVersions", entry.getKey());
                problems.add(Problem.unknownName(path, entry.getKey(), known));
                continue;
            }
            versions.put(route, new VersionId(entry.getValue().textValue()));
        }
        return versions;
    }

    private Limits buildLimits() {
        JsonNode limits = Inheritance.withDefaults(LIMITS, (ObjectNode) document.get("limits"));
        List<Double> shares = new ArrayList<>();
        limits.get("moveShares").forEach(share -> shares.add(share.doubleValue()));
        if (shares.isEmpty() || !Ordering.natural().isStrictlyOrdered(shares)) {
            String allowed = "at least one share, each greater than the one before";
            problems.add(Problem.of("/limits/moveShares", shares, allowed));
        }
        return new Limits(
                limits.get("moveSpreadMillis").longValue(),
                shares,
                limits.get("moveSoakFraction").doubleValue(),
                limits.get("versionLoadsAtOnce").intValue());
    }

    /** Returns an equal value met before, so that thousands of items share it. */
    @SuppressWarnings("unchecked") // equal keys are of the same class
    private <T> T share(T value) {
        return (T) shared.computeIfAbsent(value, same -> same);
    }
}
