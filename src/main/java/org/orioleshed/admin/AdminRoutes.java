package org.orioleshed.admin;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.orioleshed.admin.AdminBackend.RolloutPlan;
import org.orioleshed.admin.AdminBackend.SettingsChange;
import org.orioleshed.settings.Operator;

/** Dispatches calls of the admin API to the backend. */
final class AdminRoutes {
    private static final long MAX_WAIT_MILLIS = 30_000;
    private static final long MAX_ROWS = 10_000;
    private static final long DEFAULT_ROWS = 50;

    private final AdminBackend backend;

    AdminRoutes(AdminBackend backend) {
        this.backend = backend;
    }

    /** The pending result of a call. */
    sealed interface Result {
        /**
         * A reply of the backend; {@code audit} describes the change for the log, empty for reads.
         */
        record Reply(CompletableFuture<AdminReply> future, String audit) implements Result {}

        /** Notices of rollouts. */
        record Watch(CompletableFuture<AdminBackend.Notices> future) implements Result {}
    }

    /** Returns whether the call is a change. */
    static boolean isChange(AdminCall call) {
        return !call.method().equals("GET");
    }

    /** Dispatches a call of {@code operator}, whose role has been checked. */
    Result call(AdminCall call, Operator operator) throws AdminException {
        List<String> path = call.path();
        if (path.isEmpty()) {
            throw unknownPath(call);
        }
        return switch (path.get(0)) {
            case "settings" -> settings(call, operator);
            case "moves" -> rollouts(call, operator);
            case "hosts" -> table(call, backend::hosts);
            case "servers" -> table(call, backend::servers);
            case "requests" -> requests(call);
            case "poison" -> poison(call, operator);
            default -> throw unknownPath(call);
        };
    }

    private Result settings(AdminCall call, Operator operator) throws AdminException {
        String sub = call.path().size() == 1 ? "" : call.path().get(1);
        requireMaxSegments(call, 2);
        return switch (sub) {
            case "" ->
                    switch (call.method()) {
                        case "GET" -> {
                            String path = call.query().getOrDefault("path", "");
                            boolean effective = "true".equals(call.query().get("effective"));
                            yield read(backend.settings(path, effective));
                        }
                        case "PUT" -> change(call, operator, SettingsChange.Kind.SET);
                        case "DELETE" -> change(call, operator, SettingsChange.Kind.UNSET);
                        default -> throw badMethod(call);
                    };
            case "diff" -> {
                requireGet(call);
                long from = call.queryNumber("from", 0, Long.MAX_VALUE);
                long to = call.queryNumber("to", 0, Long.MAX_VALUE);
                yield read(backend.settingsDiff(from, to));
            }
            case "history" -> {
                requireGet(call);
                int limit = (int) call.queryNumber("limit", DEFAULT_ROWS, MAX_ROWS);
                yield read(backend.settingsHistory(limit));
            }
            case "status" -> table(call, backend::settingsStatus);
            default -> throw unknownPath(call);
        };
    }

    private Result change(AdminCall call, Operator operator, SettingsChange.Kind kind)
            throws AdminException {
        boolean trial = call.flag("trial");
        String path = call.optionalText("path").orElse("");
        SettingsChange change =
                new SettingsChange(
                        kind,
                        path,
                        kind == SettingsChange.Kind.SET ? call.json("value") : "",
                        call.number("expectedRevision", 0),
                        operator.name(),
                        trial
                                ? call.optionalText("reason").orElse("")
                                : call.requiredText("reason"),
                        trial);
        String audit = trial ? "" : "settings." + kind + " path=" + path;
        return new Result.Reply(backend.changeSettings(change), audit);
    }

    private Result rollouts(AdminCall call, Operator operator) throws AdminException {
        List<String> path = call.path();
        requireMaxSegments(call, 3);
        if (path.size() == 1) {
            return switch (call.method()) {
                case "GET" -> read(backend.rollouts());
                case "POST" -> plan(call, operator);
                default -> throw badMethod(call);
            };
        }
        String id = path.get(1);
        if (path.size() == 2) {
            requireGet(call);
            if (id.equals("watch")) {
                long after = call.queryNumber("after", 0, Long.MAX_VALUE);
                long waitMillis = call.queryNumber("waitMillis", MAX_WAIT_MILLIS, MAX_WAIT_MILLIS);
                return new Result.Watch(backend.notices(after, waitMillis));
            }
            return read(backend.rollout(id));
        }
        if (!path.get(2).equals("take-back")) {
            throw unknownPath(call);
        }
        requirePost(call);
        return new Result.Reply(
                backend.rollBack(id, operator.name(), call.requiredText("reason")),
                "moves.takeBack move=" + id);
    }

    private Result plan(AdminCall call, Operator operator) throws AdminException {
        RolloutPlan plan =
                new RolloutPlan(
                        call.optionalText("id"),
                        call.requiredText("target"),
                        call.requiredText("from"),
                        call.requiredText("to"),
                        call.textList("routes"),
                        call.number("completeByMillis", 0),
                        call.textList("loads"),
                        operator.name(),
                        call.requiredText("reason"));
        if (plan.completeByMillis() == 0) {
            throw new AdminException(AdminError.BAD_INPUT, "completeByMillis must be given");
        }
        if (!plan.target().matches("(model|service):.+")) {
            throw new AdminException(
                    AdminError.BAD_INPUT, "target must be model:NAME or service:NAME");
        }
        String audit =
                "moves.plan target=" + plan.target() + " from=" + plan.from() + " to=" + plan.to();
        return new Result.Reply(backend.planRollout(plan), audit);
    }

    private Result requests(AdminCall call) throws AdminException {
        requireGet(call);
        requireMaxSegments(call, 1);
        int limit = (int) call.queryNumber("limit", DEFAULT_ROWS, MAX_ROWS);
        Optional<String> workspace = Optional.ofNullable(call.query().get("workspace"));
        return read(backend.requests(workspace, limit));
    }

    private Result poison(AdminCall call, Operator operator) throws AdminException {
        requireMaxSegments(call, 2);
        if (call.path().size() == 1) {
            return table(call, backend::poison);
        }
        if (!call.path().get(1).equals("clear")) {
            throw unknownPath(call);
        }
        requirePost(call);
        Optional<String> fingerprint = call.optionalText("fingerprint");
        if (fingerprint.isPresent() && !fingerprint.get().matches("[0-9a-f]{32}")) {
            throw new AdminException(
                    AdminError.BAD_INPUT, "fingerprint must be 32 lower-case hex digits");
        }
        return new Result.Reply(
                backend.clearPoison(fingerprint, operator.name()),
                "poison.clear fingerprint=" + fingerprint.orElse("all"));
    }

    private static Result table(AdminCall call, Source source) throws AdminException {
        requireGet(call);
        return read(source.get());
    }

    private static Result read(CompletableFuture<AdminReply> future) {
        return new Result.Reply(future, "");
    }

    private static void requireGet(AdminCall call) throws AdminException {
        if (!call.method().equals("GET")) {
            throw badMethod(call);
        }
    }

    private static void requirePost(AdminCall call) throws AdminException {
        if (!call.method().equals("POST")) {
            throw badMethod(call);
        }
    }

    private static void requireMaxSegments(AdminCall call, int maxSegments) throws AdminException {
        if (call.path().size() > maxSegments) {
            throw unknownPath(call);
        }
    }

    private static AdminException badMethod(AdminCall call) {
        return new AdminException(
                AdminError.BAD_METHOD, "method not supported by this path: " + call.method());
    }

    private static AdminException unknownPath(AdminCall call) {
        return new AdminException(
                AdminError.NOT_FOUND, "no such path: " + String.join("/", call.path()));
    }

    /** An operation of the backend without parameters. */
    private interface Source {
        CompletableFuture<AdminReply> get();
    }
}
