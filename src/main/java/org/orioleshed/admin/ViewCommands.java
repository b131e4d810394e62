package org.orioleshed.admin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.MaxOccurrences;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Commands about hosts, backend servers, requests and quarantined content. */
final class ViewCommands {
    private ViewCommands() {}

    /** Lists entry hosts. */
    @Command(name = "hosts", description = "List the entry hosts")
    public static final class Hosts extends AdminCommand {
        @Override
        AdminClient.Call toCall() {
            return AdminClient.Call.get("hosts", Map.of());
        }
    }

    /** Lists backend servers. */
    @Command(name = "servers", description = "List the backend servers with owners and states")
    public static final class Servers extends AdminCommand {
        @Override
        AdminClient.Call toCall() {
            return AdminClient.Call.get("servers", Map.of());
        }
    }

    /** Lists requests. */
    @Command(name = "requests", description = "List the open requests on the entry host")
    public static final class Requests extends AdminCommand {
        @Option(
                name = "--workspace",
                title = "name",
                description = "List only requests of this workspace")
        String workspace;

        @Option(
                name = "--limit",
                title = "number",
                description = "The largest number of requests to list")
        int limit = 50;

        @Override
        AdminClient.Call toCall() {
            Map<String, String> query = new HashMap<>();
            query.put("limit", Integer.toString(limit));
            if (workspace != null) {
                query.put("workspace", workspace);
            }
            return AdminClient.Call.get("requests", query);
        }
    }

    /** Lists quarantined content. */
    @Command(name = "list", description = "List content quarantined because it crashed servers")
    public static final class PoisonList extends AdminCommand {
        @Override
        AdminClient.Call toCall() {
            return AdminClient.Call.get("poison", Map.of());
        }
    }

    /** Lists what a gateway quarantined. */
    @Command(
            name = "list",
            description = "List contents and parts of prompts that crashed servers (gateway)")
    public static final class QuarantineList extends AdminCommand {
        @Override
        AdminClient.Call toCall() {
            return AdminClient.Call.get("quarantine", Map.of());
        }
    }

    /** Releases something that a gateway quarantined, on all hosts. */
    @Command(
            name = "release",
            description = "Release something quarantined on all hosts; run it on a gateway's host")
    public static final class QuarantineRelease extends AdminCommand {
        @Arguments(title = "suspect", description = "As listed, for example part:23242f691f82")
        @MaxOccurrences(occurrences = 1)
        List<String> suspect = new ArrayList<>();

        @Override
        AdminClient.Call toCall() throws UsageException {
            if (suspect.isEmpty()) {
                throw new UsageException("quarantine release needs a suspect, as listed");
            }
            String path = "quarantine/release/" + suspect.getFirst();
            return AdminClient.Call.send("POST", path, AdminJson.MAPPER.createObjectNode());
        }
    }

    /** Releases quarantined content. */
    @Command(name = "clear", description = "Release quarantined content, so that it may run again")
    public static final class PoisonClear extends AdminCommand {
        @Arguments(
                title = "fingerprint",
                description = "The fingerprint of the content; defaults to all quarantined content")
        @MaxOccurrences(occurrences = 1)
        List<String> fingerprint = new ArrayList<>();

        @Override
        AdminClient.Call toCall() {
            ObjectNode body = AdminJson.MAPPER.createObjectNode();
            fingerprint.forEach(value -> body.put("fingerprint", value));
            return AdminClient.Call.send("POST", "poison/clear", body);
        }
    }
}
