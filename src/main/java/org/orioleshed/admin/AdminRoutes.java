package org.orioleshed.admin;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.orioleshed.admin.AdminBackend.RolloutPlan;
import org.orioleshed.admin.AdminBackend.SettingsChange;
import org.orioleshed.settings.Operator;

/** Leads each call of the admin API to the backend. */
final class AdminRoutes {
    private static final long MAX_WAIT_MILLIS = 30_000;
    private static final long MAX_ROWS = 10_000;
    private static final long DEFAULT_ROWS = 50;

    private final AdminBackend backend;

    AdminRoutes(AdminBackend backend) {
        this.backend = backend;
    }

    /** What a call leads to. */
    sealed interface Answer {
        /** A reply of the backend; {@code audit} tells what was to be changed, empty for reads. */
        record Reply(CompletableFuture<AdminReply> future, String audit) implements Answer {}

        /** Notices of rollouts. */
        record Watch(CompletableFuture<AdminBackend.Notices> future) implements Answer {}
    }

    /** Returns whether the call changes something. */
    static boolean isChange(AdminCall call) {
        return !call.method().equals("GET");
    }

    /** Makes the call for {@code operator}, whose role allows it. */
    Answer call(AdminCall call, Operator operator) throws AdminException {
        List<String> path = call.path();
        if (path.isEmpty()) {
            throw unknown(call);
        }
        return switch (path.get(0)) {
            case "settings" -> settings(call, operator);
            case "moves" -> rollouts(call, operator);
            case "hosts" -> table(call, backend::hosts);
            case "servers" -> table(call, backend::servers);
            case "requests" -> requests(call);
            case "poison" -> poison(call, operator);
            default -> throw unknown(call);
        };
    }

    private Answer settings(AdminCall call, Operator operator) throws AdminException {
        String sub = call.path().size() == 1 ? "" : call.path().get(1);
        requireLength(call, 2);
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
            default -> throw unknown(call);
        };
    }

    private Answer change(AdminCall call, Operator operator, SettingsChange.Kind kind)
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
                        trial ? call.optionalText("reason").orElse("") : call.text("reason"),
                        trial);
        String audit = trial ? "" : "settings." + kind + " path=" + path;
        return new Answer.Reply(backend.changeSettings(change), audit);
    }

    private Answer rollouts(AdminCall call, Operator operator) throws AdminException {
        List<String> path = call.path();
        requireLength(call, 3);
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
                long wait = call.queryNumber("waitMillis", MAX_WAIT_MILLIS, MAX_WAIT_MILLIS);
                return new Answer.Watch(backend.notices(after, wait));
            }
            return read(backend.rollout(id));
        }
        if (!path.get(2).equals("take-back")) {
            throw unknown(call);
        }
        requirePost(call);
        return new Answer.Reply(
                backend.rollBack(id, operator.name(), call.text("reason")),
                "moves.takeBack move=" + id);
    }

    private Answer plan(AdminCall call, Operator operator) throws AdminException {
        RolloutPlan plan =
                new RolloutPlan(
                        call.optionalText("id"),
                        call.text("target"),
                        call.text("from"),
                        call.text("to"),
                        call.texts("routes"),
                        call.number("completeByMillis", 0),
                        call.texts("loads"),
                        operator.name(),
                        call.text("reason"));
        if (plan.completeByMillis() == 0) {
            throw new AdminException(AdminError.BAD_INPUT, "completeByMillis must be given");
        }
        if (!plan.target().matches("(model|service):.+")) {
            throw new AdminException(
                    AdminError.BAD_INPUT, "target must be model:NAME or service:NAME");
        }
        String audit =
                "moves.plan target=" + plan.target() + " from=" + plan.from() + " to=" + plan.to();
        return new Answer.Reply(backend.planRollout(plan), audit);
    }

    private Answer requests(AdminCall call) throws AdminException {
        requireGet(call);
        requireLength(call, 1);
        int limit = (int) call.queryNumber("limit", DEFAULT_ROWS, MAX_ROWS);
        Optional<String> workspace = Optional.ofNullable(call.query().get("workspace"));
        return read(backend.requests(workspace, limit));
    }

    private Answer poison(AdminCall call, Operator operator) throws AdminException {
        requireLength(call, 2);
        if (call.path().size() == 1) {
            return table(call, backend::poison);
        }
        if (!call.path().get(1).equals("clear")) {
            throw unknown(call);
        }
        requirePost(call);
        Optional<String> fingerprint = call.optionalText("fingerprint");
        if (fingerprint.isPresent() && !fingerprint.get().matches("[0-9a-f]{32}")) {
            throw new AdminException(
                    AdminError.BAD_INPUT, "fingerprint must be 32 lower-case hex digits");
        }
        return new Answer.Reply(
                backend.clearPoison(fingerprint, operator.name()),
                "poison.clear fingerprint=" + fingerprint.orElse("all"));
    }

    private static Answer table(AdminCall call, Source source) throws AdminException {
        requireGet(call);
        return read(source.get());
    }

    private static Answer read(CompletableFuture<AdminReply> future) {
        return new Answer.Reply(future, "");
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

    private static void requireLength(AdminCall call, int most) throws AdminException {
        if (call.path().size() > most) {
            throw unknown(call);
        }
    }

    private static AdminException badMethod(AdminCall call) {
        return new AdminException(
                AdminError.BAD_METHOD, "this path does not take " + call.method());
    }

    private static AdminException unknown(AdminCall call) {
        return new AdminException(
                AdminError.NOT_FOUND, "no such path: " + String.join("/", call.path()));
    }

    /** Asks the backend for something that needs no parameters. */
    private interface Source {
        CompletableFuture<AdminReply> get();
    }
}
