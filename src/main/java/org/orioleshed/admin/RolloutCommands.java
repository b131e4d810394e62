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
    @Command(name = "plan", description = "Plan a move from one version to the next")
    public static final class Plan extends AdminCommand {
        @Option(name = "--id", title = "name", description = "The move's name; made up if left out")
        String id;

        @Option(
                name = "--target",
                title = "target",
                description = "What moves: model:NAME or service:NAME")
        @Required
        String target;

        @Option(name = "--from", title = "version", description = "The version traffic leaves")
        @Required
        String from;

        @Option(name = "--to", title = "version", description = "The version traffic goes to")
        @Required
        String to;

        @Option(
                name = "--route",
                title = "route",
                description = "A route to move, repeatable; all routes of the target if left out")
        List<String> routes = new ArrayList<>();

        @Option(
                name = "--complete-by",
                title = "time",
                description = "When it must be completed: 2026-01-31T20:00:00Z, or PT30M from now")
        @Required
        String completeBy;

        @Option(
                name = "--load",
                title = "server",
                description = "A backend server that must load the new version first, repeatable")
        List<String> loads = new ArrayList<>();

        @Option(name = "--reason", title = "text", description = "Why")
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
                            .put("completeByMillis", millis(completeBy, InstantSource.system()))
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

    /** Returns a time, or a duration from now, in milliseconds since the epoch. */
    static long millis(String text, InstantSource clock) throws UsageException {
        try {
            if (text.startsWith("P")) {
                return clock.instant().plus(Duration.parse(text)).toEpochMilli();
            }
            return Instant.parse(text).toEpochMilli();
        } catch (DateTimeParseException | ArithmeticException e) {
            throw new UsageException(
                    "--complete-by must be like 2026-01-31T20:00:00Z or PT30M: " + text);
        }
    }

    /** Lists moves. */
    @Command(name = "list", description = "List all moves")
    public static final class ListAll extends AdminCommand {
        @Override
        AdminClient.Call toCall() {
            return AdminClient.Call.get("moves", Map.of());
        }
    }

    /** Shows a rollout. */
    @Command(name = "show", description = "Show a move with its evidence")
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

    /** Takes a rollout back. */
    @Command(name = "take-back", description = "Take a move back that has no outcome yet")
    public static final class RollBack extends AdminCommand {
        @Arguments(title = "move", description = "The move's name")
        @Required
        @MaxOccurrences(occurrences = 1)
        List<String> id = new ArrayList<>();

        @Option(name = "--reason", title = "text", description = "Why")
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
    @Command(name = "watch", description = "Write notices of moves as they come, until stopped")
    public static final class Watch extends AdminCommand {
        @Option(name = "--after", title = "number", description = "Only notices after this one")
        long after;

        @Option(name = "--once", description = "Stop after the first notices")
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
                AdminClient.Answer answer = client.call(call);
                JsonNode notices = answer.body().path("notices");
                boolean some = answer.status() != 200 || !notices.isEmpty();
                ExitCode code = some ? printer.print(answer) : ExitCode.OK;
                if (code != ExitCode.OK || (once && some)) {
                    return code;
                }
                String last = Long.toString(answer.body().path("last").asLong());
                call = AdminClient.Call.get("moves/watch", Map.of("after", last));
            }
        }
    }
}
