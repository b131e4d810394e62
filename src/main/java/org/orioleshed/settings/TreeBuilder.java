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

/** Validates a settings document and converts it to a {@link SettingsTree}. */
final class TreeBuilder {
    private static final TreeOf SERVERS = (TreeOf) Schema.TREE.field("servers").type();
    private static final TreeOf WORKSPACES = (TreeOf) Schema.TREE.field("workspaces").type();
    private static final Group TIER =
            (Group) ((FieldType.MapOf) Schema.TREE.field("tiers").type()).value();
    private static final Group PATIENCE = (Group) WORKSPACES.item().field("patience").type();
    private static final Group LIMITS = (Group) Schema.TREE.field("limits").type();

    private final ObjectNode document;
    private final List<Problem> problems = new ArrayList<>();
    private final SchemaValidator validator = new SchemaValidator(problems);
    private final Map<String, Tier> tiers = new HashMap<>();
    private final Map<Tier, Long> deadlineMillisByTier = new HashMap<>();
    private final Map<Object, Object> interned = new HashMap<>();

    TreeBuilder(ObjectNode document) {
        this.document = Inheritance.withDefaults(Schema.TREE, document);
        validator.check(Schema.TREE, document, "", SchemaValidator.Completeness.COMPLETE);
    }

    /** Seeds the interned values with those of an earlier tree, so that new items share them. */
    void internFrom(Collection<BackendServer> servers, Collection<Workspace> workspaces) {
        for (BackendServer server : servers) {
            intern(server.domain());
            intern(server.target());
            intern(server.version());
            intern(server.generation());
        }
        for (Workspace workspace : workspaces) {
            intern(workspace.tiers());
            intern(workspace.patience());
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
            deadlineMillisByTier.put(tier, values.get("deadlineMillis").longValue());
            String otherTier = nameByRank.put(tier.rank(), tier.name());
            if (otherTier != null) {
                String path = JsonText.childPointer("/tiers", tier.name()) + "/rank";
                problems.add(
                        Problem.of(
                                path,
                                tier.rank(),
                                "a unique rank, already used by tier " + otherTier));
            }
        }
    }

    private Map<RouteId, Route> buildRoutes() {
        Map<RouteId, Route> routes = new HashMap<>();
        for (Map.Entry<String, JsonNode> entry : document.get("routes").properties()) {
            String path = JsonText.childPointer("/routes", entry.getKey());
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
            problems.add(Problem.of(path, values, "exactly one of model and service"));
            return null;
        }
        return model
                ? new Target.Model(new ModelId(values.get("model").textValue()))
                : new Target.Service(new ServiceId(values.get("service").textValue()));
    }

    private Map<ServerId, BackendServer> buildServers() {
        Map<ServerId, BackendServer> servers = new HashMap<>();
        for (Inheritance.ResolvedItem item :
                Inheritance.resolve(SERVERS, document.get("servers"), "/servers", problems)) {
            int problemsBefore = problems.size();
            validator.checkRequiredFields(SERVERS.item(), item.values(), item.path());
            Target target = target(item.values(), item.path());
            if (problems.size() == problemsBefore) {
                servers.put(new ServerId(item.id()), buildServer(item, target));
            }
        }
        return servers;
    }

    /** Returns the items of all branches with their inherited values; problems are ignored. */
    static List<Inheritance.ResolvedItem> resolvedItems(ObjectNode tree) {
        List<Problem> ignored = new ArrayList<>();
        List<Inheritance.ResolvedItem> items = new ArrayList<>();
        items.addAll(Inheritance.resolve(SERVERS, tree.path("servers"), "/servers", ignored));
        items.addAll(
                Inheritance.resolve(WORKSPACES, tree.path("workspaces"), "/workspaces", ignored));
        return items;
    }

    private BackendServer buildServer(Inheritance.ResolvedItem item, Target target) {
        JsonNode values = item.values();
        return new BackendServer(
                new ServerId(item.id()),
                intern(new FailureDomain(values.get("domain").textValue())),
                URI.create(values.get("address").textValue()),
                intern(target),
                intern(new VersionId(values.get("version").textValue())),
                intern(values.get("generation").textValue()),
                values.get("places").intValue(),
                values.get("cacheTokens").longValue(),
                values.get("canResume").booleanValue(),
                values.get("checksFencing").booleanValue(),
                values.get("leaving").booleanValue());
    }

    private Map<WorkspaceId, Workspace> buildWorkspaces() {
        Map<WorkspaceId, Workspace> workspaces = new HashMap<>();
        Map<String, String> pathByKeyHash = new HashMap<>();
        for (Inheritance.ResolvedItem item :
                Inheritance.resolve(
                        WORKSPACES, document.get("workspaces"), "/workspaces", problems)) {
            int problemsBefore = problems.size();
            validator.checkRequiredFields(WORKSPACES.item(), item.values(), item.path());
            checkPatience(item);
            checkKeyHashes(item, pathByKeyHash);
            Map<Tier, Long> allowedTiers = workspaceTiers(item);
            Tier defaultTier = defaultTier(item, allowedTiers);
            if (problems.size() == problemsBefore) {
                WorkspaceId id = new WorkspaceId(item.id());
                workspaces.put(id, buildWorkspace(id, item.values(), allowedTiers, defaultTier));
            }
        }
        return workspaces;
    }

    private void checkPatience(Inheritance.ResolvedItem item) {
        JsonNode patience = item.values().get("patience");
        if (patience != null) {
            validator.checkRequiredFields(
                    PATIENCE, patience, JsonText.childPointer(item.path(), "patience"));
        }
    }

    private void checkKeyHashes(Inheritance.ResolvedItem item, Map<String, String> pathByKeyHash) {
        for (JsonNode hash : item.values().path("keyHashes")) {
            String otherPath = pathByKeyHash.put(hash.textValue(), item.path());
            if (otherPath != null) {
                String path = JsonText.childPointer(item.path(), "keyHashes");
                problems.add(
                        Problem.of(
                                path,
                                hash,
                                "a key hash of only one workspace, already used by " + otherPath));
            }
        }
    }

    private Map<Tier, Long> workspaceTiers(Inheritance.ResolvedItem item) {
        Map<Tier, Long> allowedTiers = new HashMap<>(deadlineMillisByTier);
        String path = JsonText.childPointer(item.path(), "tiers");
        for (Map.Entry<String, JsonNode> entry : item.values().path("tiers").properties()) {
            Tier tier = tiers.get(entry.getKey());
            if (tier == null) {
                String tierPath = JsonText.childPointer(path, entry.getKey());
                problems.add(Problem.unknownName(tierPath, entry.getKey(), tierNames()));
                continue;
            }
            if (!entry.getValue().path("allowed").asBoolean(true)) {
                allowedTiers.remove(tier);
                continue;
            }
            JsonNode deadlineMillis = entry.getValue().get("deadlineMillis");
            if (deadlineMillis != null) {
                allowedTiers.put(tier, deadlineMillis.longValue());
            }
        }
        return intern(Map.copyOf(allowedTiers));
    }

    private Tier defaultTier(Inheritance.ResolvedItem item, Map<Tier, Long> allowedTiers) {
        String name = item.values().get("defaultTier").textValue();
        Tier tier = tiers.get(name);
        if (tier == null || !allowedTiers.containsKey(tier)) {
            String path = JsonText.childPointer(item.path(), "defaultTier");
            problems.add(Problem.unknownName(path, name, tierNames()));
        }
        return tier;
    }

    private Iterable<String> tierNames() {
        return new TreeSet<>(tiers.keySet());
    }

    private Workspace buildWorkspace(
            WorkspaceId id, JsonNode values, Map<Tier, Long> allowedTiers, Tier defaultTier) {
        List<String> keyHashes = new ArrayList<>();
        values.path("keyHashes").forEach(hash -> keyHashes.add(hash.textValue()));
        return new Workspace(
                id,
                keyHashes,
                values.get("weight").intValue(),
                allowedTiers,
                defaultTier,
                values.get("maxWaiting").intValue(),
                values.get("maxOutputTokens").intValue(),
                intern(
                        Optional.ofNullable(values.get("patience"))
                                .map(TreeBuilder::buildPatience)));
    }

    private static PatienceWindow buildPatience(JsonNode values) {
        return new PatienceWindow(
                LocalTime.parse(values.get("start").textValue()),
                LocalTime.parse(values.get("end").textValue()),
                ZoneId.of(values.get("zone").textValue()));
    }

    private Map<RouteId, VersionId> buildVersions(Map<RouteId, Route> routes) {
        Map<RouteId, VersionId> versions = new HashMap<>();
        List<String> routeNames = routes.keySet().stream().map(RouteId::value).sorted().toList();
        for (Map.Entry<String, JsonNode> entry : document.get("currentVersions").properties()) {
            RouteId route = new RouteId(entry.getKey());
            if (!routes.containsKey(route)) {
                String path = JsonText.childPointer("/currentVersions", entry.getKey());
                problems.add(Problem.unknownName(path, entry.getKey(), routeNames));
                continue;
            }
            versions.put(route, new VersionId(entry.getValue().textValue()));
        }
        return versions;
    }

    private Limits buildLimits() {
        JsonNode limits = Inheritance.withDefaults(LIMITS, (ObjectNode) document.get("limits"));
        List<Double> shares = new ArrayList<>();
        limits.get("moveShares").forEach(value -> shares.add(value.doubleValue()));
        if (shares.isEmpty() || !Ordering.natural().isStrictlyOrdered(shares)) {
            String allowed = "at least one share, in strictly increasing order";
            problems.add(Problem.of("/limits/moveShares", shares, allowed));
        }
        return new Limits(
                limits.get("moveSpreadMillis").longValue(),
                shares,
                limits.get("moveSoakFraction").doubleValue(),
                limits.get("versionLoadsAtOnce").intValue());
    }

    /** Returns the canonical instance of an equal value, so that thousands of items share it. */
    @SuppressWarnings("unchecked") // equal keys have the same class
    private <T> T intern(T value) {
        return (T) interned.computeIfAbsent(value, key -> key);
    }
}
