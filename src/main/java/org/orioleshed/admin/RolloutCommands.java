package org.orioleshed.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.MaxOccurrences;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Commands about rollouts. */
final class RolloutCommands {
    private RolloutCommands() {}

    /** Plans a rollout. */
    @Command(name = "plan", description = "Plan a rollout (move) from one version to another")
    public static final class Plan extends AdminCommand {
        @Option(
                name = "--id",
                title = "name",
                description = "The move's name; generated if omitted")
        String id;

        @Option(
                name = "--target",
                title = "target",
                description = "The target: model:NAME or service:NAME")
        @Required
        String target;

        @Option(
                name = "--from",
                title = "version",
                description = "The version that traffic moves away from")
        @Required
        String from;

        @Option(name = "--to", title = "version", description = "The version that traffic moves to")
        @Required
        String to;

        @Option(
                name = "--route",
                title = "route",
                description = "A route to move, repeatable; defaults to all routes of the target")
        List<String> routes = new ArrayList<>();

        @Option(
                name = "--complete-by",
                title = "time",
                description =
                        "The deadline: a time like 2026-01-31T20:00:00Z, or a duration from now like PT30M")
        @Required
        String completeBy;

        @Option(
                name = "--load",
                title = "server",
                description = "A backend server that must load the new version first, repeatable")
        List<String> loads = new ArrayList<>();

        @Option(name = "--reason", title = "text", description = "The reason of the change")
        @Required
        String reason;

        @Override
        AdminClient.Call toCall() throws UsageException {
            ObjectNode body =
                    AdminJson.MAPPER
                            .createObjectNode()
                            .put("target", target)
                            .put("from", from)
                            .put("to", to)
                            .put(
                                    "completeByMillis",
                                    epochMillis(completeBy, InstantSource.system()))
                            .put("reason", reason);
            if (id != null) {
                body.put("id", id);
            }
            ArrayNode routeNames = body.putArray("routes");
            routes.forEach(routeNames::add);
            ArrayNode servers = body.putArray("loads");
            loads.forEach(servers::add);
            return AdminClient.Call.send("POST", "moves", body);
        }
    }

    /** Converts an ISO time, or an ISO duration from now, to milliseconds since the epoch. */
    static long epochMillis(String text, InstantSource clock) throws UsageException {
        try {
            if (text.startsWith("P")) {
                return clock.instant().plus(Duration.parse(text)).toEpochMilli();
            }
            return Instant.parse(text).toEpochMilli();
        } catch (DateTimeParseException | ArithmeticException e) {
            throw new UsageException(
                    "--complete-by must be like 2026-01-31T20:00:00Z or PT30M, found " + text);
        }
    }

    /** Lists rollouts. */
    @Command(name = "list", description = "List all rollouts (moves)")
    public static final class ListAll extends AdminCommand {
        @Override
        AdminClient.Call toCall() {
            return AdminClient.Call.get("moves", Map.of());
        }
    }

    /** Shows a rollout. */
    @Command(name = "show", description = "Show a rollout (move) with its evidence")
    public static final class Show extends AdminCommand {
        @Arguments(title = "move", description = "The move's name")
        @Required
        @MaxOccurrences(occurrences = 1)
        List<String> id = new ArrayList<>();

        @Override
        AdminClient.Call toCall() {
            return AdminClient.Call.get("moves/" + AdminClient.escape(id.get(0)), Map.of());
        }
    }

    /** Rolls back a rollout. */
    @Command(name = "take-back", description = "Roll back a rollout (move) that has no outcome yet")
    public static final class RollBack extends AdminCommand {
        @Arguments(title = "move", description = "The move's name")
        @Required
        @MaxOccurrences(occurrences = 1)
        List<String> id = new ArrayList<>();

        @Option(name = "--reason", title = "text", description = "The reason of the change")
        @Required
        String reason;

        @Override
        AdminClient.Call toCall() {
            ObjectNode body = AdminJson.MAPPER.createObjectNode().put("reason", reason);
            String path = "moves/" + AdminClient.escape(id.get(0)) + "/take-back";
            return AdminClient.Call.send("POST", path, body);
        }
    }

    /** Follows the notices of rollouts. */
    @Command(
            name = "watch",
            description = "Print notices of rollouts (moves) as they arrive, until stopped")
    public static final class Watch extends AdminCommand {
        @Option(
                name = "--after",
                title = "number",
                description = "Print only notices after this sequence number")
        long after;

        @Option(name = "--once", description = "Exit after the first notices")
        boolean once;

        @Override
        AdminClient.Call toCall() {
            return AdminClient.Call.get("moves/watch", Map.of("after", Long.toString(after)));
        }

        @Override
        ExitCode exchange(AdminClient client, AdminClient.Call first, AdminPrinter printer)
                throws IOException, InterruptedException {
            AdminClient.Call call = first;
            while (true) {
                AdminClient.Response response = client.call(call);
                JsonNode notices = response.body().path("notices");
                boolean printable = response.status() != 200 || !notices.isEmpty();
                ExitCode code = printable ? printer.print(response) : ExitCode.OK;
                if (code != ExitCode.OK || (once && printable)) {
                    return code;
                }
                String last = Long.toString(response.body().path("last").asLong());
                call = AdminClient.Call.get("moves/watch", Map.of("after", last));
            }
        }
    }
}
