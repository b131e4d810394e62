package org.orioleshed.entry;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.orioleshed.admin.AdminBackend;
import org.orioleshed.admin.AdminReply;
import org.orioleshed.control.ControlDuty;
import org.orioleshed.control.ControlStatus;
import org.orioleshed.control.RolloutNotice;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.fleet.Route;
import org.orioleshed.fleet.Target;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ModelId;
import org.orioleshed.model.Request;
import org.orioleshed.model.RolloutId;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.ServiceId;
import org.orioleshed.model.VersionId;
import org.orioleshed.rollout.RolloutRecord;
import org.orioleshed.rollout.RolloutStatus;
import org.orioleshed.routing.ServerOwners;
import org.orioleshed.settings.Problem;
import org.orioleshed.settings.ProposedChange;
import org.orioleshed.settings.SettingsDocument;
import org.orioleshed.settings.SettingsEdit;
import org.orioleshed.settings.SettingsTree;

/** Implements the admin API on the control and event loops of one entry host. */
final class EntryAdminBackend implements AdminBackend {
    private static final String MODEL_PREFIX = "model:";
    private static final String SERVICE_PREFIX = "service:";
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final ControlDuty control;
    private final HostEventLoop eventLoop;
    private final ActionExecutor actions;
    private final QuarantineAdmin quarantine;
    private final Supplier<FleetSnapshot> fleet;

    EntryAdminBackend(
            ControlDuty control,
            HostEventLoop eventLoop,
            ActionExecutor actions,
            QuarantineAdmin quarantine,
            Supplier<FleetSnapshot> fleet) {
        this.control = control;
        this.eventLoop = eventLoop;
        this.actions = actions;
        this.quarantine = quarantine;
        this.fleet = fleet;
    }

    @Override
    public CompletableFuture<AdminReply> settings(String path, boolean effective) {
        return control.document().thenApply(document -> describe(document, path, effective));
    }

    private static AdminReply describe(
            Optional<SettingsDocument> document, String path, boolean effective) {
        if (document.isEmpty()) {
            return new AdminReply.NotFound("settings");
        }
        SettingsDocument present = document.get();
        Optional<String> value =
                effective ? present.effectiveAt(pointer(path)) : present.valueAt(pointer(path));
        return value.<AdminReply>map(json -> new AdminReply.Document(json, present.number()))
                .orElseGet(() -> new AdminReply.NotFound(path));
    }

    @Override
    public CompletableFuture<AdminReply> changeSettings(AdminBackend.SettingsChange change) {
        if (change.trial() && change.path().isEmpty()) {
            return CompletableFuture.completedFuture(validateTree(change.valueJson()));
        }
        String id = UUID.randomUUID().toString();
        SettingsEdit edit =
                switch (change.kind()) {
                    case SET -> SettingsEdit.set(pointer(change.path()), change.valueJson());
                    case UNSET -> SettingsEdit.unset(pointer(change.path()));
                };
        Optional<Long> basedOn =
                change.expectedRevision() == 0
                        ? Optional.empty()
                        : Optional.of(change.expectedRevision());
        ProposedChange proposed =
                new ProposedChange(id, change.author(), change.reason(), basedOn, List.of(edit));
        if (change.trial()) {
            return control.document().thenApply(document -> validateChange(document, proposed));
        }
        return control.propose(proposed).thenApply(result -> AdminReplies.of(id, result));
    }

    private static AdminReply validateTree(String text) {
        return switch (SettingsTree.parse(text)) {
            case SettingsTree.Result.Loaded loaded -> new AdminReply.Accepted("", 0, "valid");
            case SettingsTree.Result.Problems found -> AdminReplies.rejected(found.problems());
        };
    }

    private static AdminReply validateChange(
            Optional<SettingsDocument> document, ProposedChange proposed) {
        if (document.isEmpty()) {
            return new AdminReply.NotFound("settings");
        }
        List<Problem> problems = document.get().problemsWith(proposed.edits());
        return problems.isEmpty()
                ? new AdminReply.Accepted("", document.get().number(), "valid")
                : AdminReplies.rejected(problems);
    }

    @Override
    public CompletableFuture<AdminReply> settingsDiff(long fromRevision, long toRevision) {
        return control.document()
                .thenApply(document -> AdminReplies.diff(document, fromRevision, toRevision));
    }

    @Override
    public CompletableFuture<AdminReply> settingsHistory(int limit) {
        return control.document()
                .thenApply(
                        document ->
                                AdminReplies.history(
                                        document.map(SettingsDocument::changes), limit));
    }

    @Override
    public CompletableFuture<AdminReply> settingsStatus() {
        return control.status().thenApply(EntryAdminBackend::describe);
    }

    private static AdminReply describe(ControlStatus status) {
        List<List<String>> rows =
                status.hosts().stream()
                        .sorted(Comparator.comparing(host -> host.host().id()))
                        .map(host -> row(status, host))
                        .toList();
        return new AdminReply.Table(
                List.of("host", "revision", "inForce", "unconfirmed", "storeAwayMillis"), rows);
    }

    private static List<String> row(ControlStatus status, ControlStatus.HostStatus host) {
        boolean missing = status.missing().contains(host.host().id());
        return List.of(
                host.host().id().value(),
                host.settings().map(reported -> Long.toString(reported.number())).orElse("unknown"),
                missing ? "no" : "yes",
                host.settings()
                        .map(reported -> reported.unconfirmed() ? "yes" : "no")
                        .orElse("unknown"),
                host.settings()
                        .map(reported -> Long.toString(reported.storeUnavailableMillis()))
                        .orElse("unknown"));
    }

    @Override
    public CompletableFuture<AdminReply> planRollout(RolloutPlan plan) {
        Optional<Target> target = target(plan.target());
        List<RouteId> routes =
                plan.routes().isEmpty()
                        ? target.map(this::routesOf).orElse(List.of())
                        : plan.routes().stream().map(RouteId::new).toList();
        List<AdminReply.Problem> problems = problems(plan, target, routes);
        if (!problems.isEmpty()) {
            return CompletableFuture.completedFuture(new AdminReply.Rejected(problems));
        }
        RolloutRecord record =
                RolloutRecord.plan(
                        new RolloutId(plan.id().orElseGet(() -> "move-" + UUID.randomUUID())),
                        target.get(),
                        new VersionId(plan.from()),
                        new VersionId(plan.to()),
                        routes,
                        System.currentTimeMillis(),
                        plan.completeByMillis(),
                        plan.loads().stream().map(ServerId::new).toList(),
                        plan.author(),
                        plan.reason());
        return control.planRollout(record).thenApply(AdminReplies::of);
    }

    private List<AdminReply.Problem> problems(
            RolloutPlan plan, Optional<Target> target, List<RouteId> routes) {
        List<AdminReply.Problem> problems = new ArrayList<>();
        if (target.isEmpty()) {
            problems.add(problem("target", "must be model:NAME or service:NAME"));
        }
        if (plan.from().equals(plan.to())) {
            problems.add(problem("to", "must differ from the version that traffic leaves"));
        }
        if (plan.completeByMillis() <= System.currentTimeMillis()) {
            problems.add(problem("completeByMillis", "must be in the future"));
        }
        if (target.isPresent() && routes.isEmpty()) {
            problems.add(problem("target", "no route has this target"));
        }
        for (RouteId route : routes) {
            Route present = fleet.get().routes().get(route);
            if (present == null || !target.map(present.target()::equals).orElse(true)) {
                problems.add(problem("routes", "not a route of the target: " + route));
            }
        }
        return problems;
    }

    private static AdminReply.Problem problem(String path, String reason) {
        return new AdminReply.Problem(path, reason, Optional.empty());
    }

    private List<RouteId> routesOf(Target target) {
        return fleet.get().routes().values().stream()
                .filter(route -> route.target().equals(target))
                .map(Route::id)
                .sorted()
                .toList();
    }

    private static Optional<Target> target(String text) {
        if (text.startsWith(MODEL_PREFIX) && text.length() > MODEL_PREFIX.length()) {
            return Optional.of(
                    new Target.Model(new ModelId(text.substring(MODEL_PREFIX.length()))));
        }
        if (text.startsWith(SERVICE_PREFIX) && text.length() > SERVICE_PREFIX.length()) {
            return Optional.of(
                    new Target.Service(new ServiceId(text.substring(SERVICE_PREFIX.length()))));
        }
        return Optional.empty();
    }

    @Override
    public CompletableFuture<AdminReply> rollouts() {
        return control.rollouts().thenApply(AdminReplies::table);
    }

    @Override
    public CompletableFuture<AdminReply> rollout(String id) {
        return control.rollouts().thenApply(rollouts -> tableOf(rollouts, id));
    }

    private static AdminReply tableOf(List<RolloutStatus> rollouts, String id) {
        List<RolloutStatus> found =
                rollouts.stream()
                        .filter(rollout -> rollout.record().id().value().equals(id))
                        .toList();
        return found.isEmpty() ? new AdminReply.NotFound("move " + id) : AdminReplies.table(found);
    }

    @Override
    public CompletableFuture<AdminReply> rollBack(String id, String author, String reason) {
        return control.rollBack(new RolloutId(id), author, reason).thenApply(AdminReplies::of);
    }

    @Override
    public CompletableFuture<Notices> notices(long after, long waitMillis) {
        return control.notices(after, waitMillis).thenApply(received -> notices(after, received));
    }

    private static Notices notices(long after, List<RolloutNotice> received) {
        List<Notice> notices =
                received.stream()
                        .map(
                                notice ->
                                        new Notice(
                                                notice.sequence(),
                                                notice.rollout().value(),
                                                notice.kind().name().toLowerCase(Locale.ROOT),
                                                notice.epochMillis(),
                                                notice.detail()))
                        .toList();
        return new Notices(notices, received.isEmpty() ? after : received.getLast().sequence());
    }

    @Override
    public CompletableFuture<AdminReply> hosts() {
        List<List<String>> rows =
                fleet.get().hosts().values().stream()
                        .sorted(Comparator.comparing(host -> host.id()))
                        .map(
                                host ->
                                        List.of(
                                                host.id().value(),
                                                host.domain().value(),
                                                host.state().name().toLowerCase(Locale.ROOT),
                                                Long.toString(host.incarnation())))
                        .toList();
        return CompletableFuture.completedFuture(
                new AdminReply.Table(List.of("host", "domain", "state", "incarnation"), rows));
    }

    @Override
    public CompletableFuture<AdminReply> servers() {
        FleetSnapshot now = fleet.get();
        ServerOwners owners = ServerOwners.of(now);
        List<List<String>> rows =
                now.servers().values().stream()
                        .sorted(Comparator.comparing(BackendServer::id))
                        .map(server -> row(server, owners))
                        .toList();
        return CompletableFuture.completedFuture(
                new AdminReply.Table(
                        List.of("server", "domain", "version", "generation", "home", "state"),
                        rows));
    }

    private static List<String> row(BackendServer server, ServerOwners owners) {
        return List.of(
                server.id().value(),
                server.domain().value(),
                server.version().value(),
                server.generation(),
                owners.owner(server.id()).map(HostId::value).orElse("none"),
                server.leaving() ? "leaving" : "serving");
    }

    @Override
    public CompletableFuture<AdminReply> requests(Optional<String> workspace, int limit) {
        long nowNanos = System.nanoTime();
        List<List<String>> rows =
                actions.openRequests().stream()
                        .filter(request -> matches(request, workspace))
                        .sorted(Comparator.comparingLong(Request::arrivedNanos))
                        .limit(limit)
                        .map(request -> row(request, nowNanos))
                        .toList();
        return CompletableFuture.completedFuture(
                new AdminReply.Table(
                        List.of("request", "workspace", "route", "tier", "ageMillis", "leftMillis"),
                        rows));
    }

    private static boolean matches(Request request, Optional<String> workspace) {
        return workspace.map(request.workspace().value()::equals).orElse(true);
    }

    private static List<String> row(Request request, long nowNanos) {
        return List.of(
                request.id().toString(),
                request.workspace().value(),
                request.route().value(),
                request.tier().name(),
                Long.toString((nowNanos - request.arrivedNanos()) / NANOS_PER_MILLI),
                Long.toString((request.deadlineNanos() - nowNanos) / NANOS_PER_MILLI));
    }

    @Override
    public CompletableFuture<AdminReply> poison() {
        return eventLoop.query(() -> quarantine.list(System.nanoTime()));
    }

    @Override
    public CompletableFuture<AdminReply> clearPoison(Optional<String> fingerprint, String author) {
        return eventLoop.query(() -> quarantine.clear(System.nanoTime(), fingerprint));
    }

    /** Converts a path of names joined by dots to a JSON pointer. */
    private static String pointer(String path) {
        if (path.isEmpty() || path.startsWith("/")) {
            return path;
        }
        return "/" + path.replace("~", "~0").replace("/", "~1").replace('.', '/');
    }
}
