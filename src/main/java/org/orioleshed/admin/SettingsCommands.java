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
        @Arguments(title = "path", description = "Names joined by dots; defaults to the whole tree")
        @MaxOccurrences(occurrences = 1)
        List<String> path = new ArrayList<>();

        @Option(name = "--effective", description = "Include inherited values")
        boolean effective;

        @Override
        AdminClient.Call toCall() {
            Map<String, String> query = new HashMap<>();
            query.put("path", path.isEmpty() ? "" : path.get(0));
            query.put("effective", Boolean.toString(effective));
            return AdminClient.Call.get("settings", query);
        }
    }

    /** The base class of commands that change settings. */
    public abstract static class Change extends AdminCommand {
        @Option(
                name = "--reason",
                title = "text",
                description = "The reason of the change, kept in the history")
        @Required
        String reason;

        @Option(
                name = "--expect",
                title = "revision",
                description = "Reject the change unless this revision is in force")
        long expectedRevision;

        @Option(name = "--trial", description = "Validate only, without any change")
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
                description =
                        "Names joined by dots; JSON with comments, or @FILE to read the value from a file")
        @Required
        List<String> arguments = new ArrayList<>();

        @Override
        AdminClient.Call toCall() throws UsageException {
            if (arguments.size() != 2) {
                throw new UsageException(
                        "expected a path and a value, found " + arguments.size() + " arguments");
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

    /** Validates a settings tree. */
    @Command(
            name = "check",
            description = "Validate a file with a whole settings tree, without any change")
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
        @Option(
                name = "--from",
                title = "revision",
                description = "A revision; 0 for the one in force")
        long from;

        @Option(
                name = "--to",
                title = "revision",
                description = "A revision; 0 for the one in force")
        long to;

        @Override
        AdminClient.Call toCall() {
            Map<String, String> query =
                    Map.of("from", Long.toString(from), "to", Long.toString(to));
            return AdminClient.Call.get("settings/diff", query);
        }
    }

    /** Lists changes. */
    @Command(name = "history", description = "List the latest changes, newest first")
    public static final class History extends AdminCommand {
        @Option(
                name = "--limit",
                title = "number",
                description = "The largest number of changes to list")
        int limit = 20;

        @Override
        AdminClient.Call toCall() {
            Map<String, String> query = Map.of("limit", Integer.toString(limit));
            return AdminClient.Call.get("settings/history", query);
        }
    }

    /** Shows the revision in force on each host. */
    @Command(name = "status", description = "Show the revision in force on each host")
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
