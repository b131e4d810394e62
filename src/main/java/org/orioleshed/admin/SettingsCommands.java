package org.orioleshed.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.MaxOccurrences;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Commands about settings. */
final class SettingsCommands {
    private SettingsCommands() {}

    /** Shows settings. */
    @Command(name = "get", description = "Show the settings at a path")
    public static final class Get extends AdminCommand {
        @Arguments(title = "path", description = "Names joined by dots; the whole tree if left out")
        @MaxOccurrences(occurrences = 1)
        List<String> path = new ArrayList<>();

        @Option(name = "--effective", description = "Fill inherited values in")
        boolean effective;

        @Override
        AdminClient.Call toCall() {
            Map<String, String> query = new HashMap<>();
            query.put("path", path.isEmpty() ? "" : path.get(0));
            query.put("effective", Boolean.toString(effective));
            return AdminClient.Call.get("settings", query);
        }
    }

    /** What commands that change settings share. */
    public abstract static class Change extends AdminCommand {
        @Option(name = "--reason", title = "text", description = "Why; kept in the history")
        @Required
        String reason;

        @Option(
                name = "--expect",
                title = "revision",
                description = "Refuse the change unless this revision is in force")
        long expectedRevision;

        @Option(name = "--trial", description = "Only check, change nothing")
        boolean trial;

        ObjectNode body(String path) {
            return AdminJson.MAPPER
                    .createObjectNode()
                    .put("path", path)
                    .put("reason", reason)
                    .put("expectedRevision", expectedRevision)
                    .put("trial", trial);
        }
    }

    /** Sets a value. */
    @Command(name = "set", description = "Set the value at a path")
    public static final class Set extends Change {
        @Arguments(
                title = {"path", "value"},
                description = "Names joined by dots; JSON with comments, or @FILE to read it")
        @Required
        List<String> arguments = new ArrayList<>();

        @Override
        AdminClient.Call toCall() throws UsageException {
            if (arguments.size() != 2) {
                throw new UsageException("give a path and a value");
            }
            ObjectNode body = body(arguments.get(0));
            body.set("value", value(arguments.get(1)));
            return AdminClient.Call.send("PUT", "settings", body);
        }
    }

    /** Removes a value. */
    @Command(name = "unset", description = "Remove the value at a path, so that it is inherited")
    public static final class Unset extends Change {
        @Arguments(title = "path", description = "Names joined by dots")
        @Required
        @MaxOccurrences(occurrences = 1)
        List<String> path = new ArrayList<>();

        @Override
        AdminClient.Call toCall() {
            return AdminClient.Call.send("DELETE", "settings", body(path.get(0)));
        }
    }

    /** Checks a whole tree. */
    @Command(name = "check", description = "Check a file with a whole tree, change nothing")
    public static final class Check extends AdminCommand {
        @Arguments(title = "file", description = "JSON with comments")
        @Required
        @MaxOccurrences(occurrences = 1)
        List<String> file = new ArrayList<>();

        @Override
        AdminClient.Call toCall() throws UsageException {
            ObjectNode body = AdminJson.MAPPER.createObjectNode().put("trial", true);
            body.set("value", value("@" + file.get(0)));
            return AdminClient.Call.send("PUT", "settings", body);
        }
    }

    /** Compares revisions. */
    @Command(name = "diff", description = "Compare two revisions of the settings")
    public static final class Diff extends AdminCommand {
        @Option(name = "--from", title = "revision", description = "Zero: the one in force")
        long from;

        @Option(name = "--to", title = "revision", description = "Zero: the one in force")
        long to;

        @Override
        AdminClient.Call toCall() {
            Map<String, String> query =
                    Map.of("from", Long.toString(from), "to", Long.toString(to));
            return AdminClient.Call.get("settings/diff", query);
        }
    }

    /** Lists changes. */
    @Command(name = "history", description = "List the last changes, the newest first")
    public static final class History extends AdminCommand {
        @Option(name = "--limit", title = "number", description = "How many changes")
        int limit = 20;

        @Override
        AdminClient.Call toCall() {
            Map<String, String> query = Map.of("limit", Integer.toString(limit));
            return AdminClient.Call.get("settings/history", query);
        }
    }

    /** Tells who has which revision. */
    @Command(name = "status", description = "Tell which revision each host has in force")
    public static final class Status extends AdminCommand {
        @Override
        AdminClient.Call toCall() {
            return AdminClient.Call.get("settings/status", Map.of());
        }
    }

    private static JsonNode value(String text) throws UsageException {
        String json = text.startsWith("@") ? readValueFile(text) : text;
        try {
            JsonNode value = AdminJson.MAPPER.readTree(json);
            if (value != null && !value.isMissingNode()) {
                return value;
            }
        } catch (JsonProcessingException e) {
            throw new UsageException(
                    "value is not JSON (strings need quotes): " + e.getOriginalMessage());
        }
        throw new UsageException("value must not be empty");
    }

    private static String readValueFile(String text) throws UsageException {
        return AdminCommand.readFile(text.substring(1));
    }
}
