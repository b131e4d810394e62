package org.orioleshed.settings;

import java.util.List;
import org.orioleshed.settings.FieldType.Bool;
import org.orioleshed.settings.FieldType.Choice;
import org.orioleshed.settings.FieldType.Group;
import org.orioleshed.settings.FieldType.HostPort;
import org.orioleshed.settings.FieldType.HttpUrl;
import org.orioleshed.settings.FieldType.IntegerRange;
import org.orioleshed.settings.FieldType.KeyHash;
import org.orioleshed.settings.FieldType.ListOf;
import org.orioleshed.settings.FieldType.MapOf;
import org.orioleshed.settings.FieldType.NumberRange;
import org.orioleshed.settings.FieldType.Text;
import org.orioleshed.settings.FieldType.TimeOfDay;
import org.orioleshed.settings.FieldType.TimeZone;
import org.orioleshed.settings.FieldType.TreeOf;

/** The schema of all settings, from which validation, defaults, documentation and help derive. */
final class Schema {
    private static final long DAY_MILLIS = 86_400_000;
    private static final long WEEK_MILLIS = 7 * DAY_MILLIS;
    private static final long MAX_TOKENS = 1_000_000_000;

    /** The configuration file of an entry host. */
    static final Group ENTRY =
            Group.of(
                    Field.required("host", host(), "The identity of this entry host."),
                    Field.required("addresses", addresses(), "The listen addresses."),
                    Field.withDefault(
                            "peers",
                            new ListOf(peer()),
                            "[]",
                            "Entry hosts to contact for the fleet's state when the store is"
                                    + " unavailable."),
                    Field.required("store", store(), "The platform's key-value service."),
                    Field.withDefault(
                            "operators",
                            new ListOf(operator()),
                            "[]",
                            "Operators with access to the admin API."),
                    Field.withDefault(
                            "drainMillis",
                            new IntegerRange(0, 10 * 60_000),
                            "30000",
                            "The maximum time that a graceful stop waits for running requests."),
                    Field.withDefault(
                            "policy",
                            new Choice(List.of("orioleshed", "naive")),
                            "\"orioleshed\"",
                            "The scheduling policy; naive is a baseline for comparison."));

    /** The settings tree of the fleet. */
    static final Group TREE =
            Group.of(
                    Field.withDefault(
                            "tiers",
                            new MapOf("tier", tier()),
                            "{\"urgent\":{\"rank\":0},\"standard\":{\"rank\":1},"
                                    + "\"patient\":{\"rank\":2}}",
                            "Priority tiers."),
                    Field.withDefault(
                            "routes",
                            new MapOf("route", route()),
                            "{}",
                            "The names that callers request, and the model or service that each"
                                    + " maps to."),
                    Field.withDefault(
                            "servers", new TreeOf("server", server()), "{}", "Backend servers."),
                    Field.withDefault(
                            "workspaces",
                            new TreeOf("workspace", workspace()),
                            "{}",
                            "Workspaces."),
                    Field.withDefault(
                            "limits", limits(), "{}", "Limits that apply to the whole fleet."),
                    Field.withDefault(
                            "currentVersions",
                            new MapOf("route", new Text()),
                            "{}",
                            "For each route, the version to use while no rollout is in progress."));

    private Schema() {}

    private static Group host() {
        return Group.of(
                Field.required("id", new Text(), "The host's id, unique in the fleet."),
                Field.required("domain", new Text(), "Its failure domain."));
    }

    private static Group addresses() {
        return Group.of(
                Field.required("caller", new HostPort(), "The address for callers."),
                Field.required("peer", new HostPort(), "The address for other entry hosts."),
                Field.optional(
                        "admin",
                        new HostPort(),
                        "The address of the admin API; disabled if not set."));
    }

    private static Group peer() {
        return Group.of(
                Field.required("id", new Text(), "The peer's id."),
                Field.required("domain", new Text(), "Its failure domain."),
                Field.required("peerAddress", new HostPort(), "Its address for peer connections."));
    }

    private static Group store() {
        return Group.of(
                Field.required(
                        "addresses", new ListOf(new HttpUrl()), "The base URLs, tried in turn."));
    }

    private static Group operator() {
        return Group.of(
                Field.required("name", new Text(), "The operator's name in the audit log."),
                Field.required("keyHash", new KeyHash(), "The SHA-256 of the operator's key."),
                Field.withDefault(
                        "role",
                        new Choice(List.of("read", "change")),
                        "\"read\"",
                        "The operator's permissions."));
    }

    private static Group tier() {
        return Group.of(
                Field.required(
                        "rank",
                        new IntegerRange(0, 100),
                        "The tier's priority; zero is the most urgent."),
                Field.withDefault(
                        "deadlineMillis",
                        new IntegerRange(1, WEEK_MILLIS),
                        "86400000",
                        "The longest deadline that a workspace may request, unless the workspace"
                                + " overrides it."));
    }

    private static Group route() {
        return Group.of(
                Field.optional("model", new Text(), "The model that the route maps to."),
                Field.optional("service", new Text(), "The plain service that the route maps to."),
                Field.withDefault(
                        "calls",
                        new MapOf("call", call()),
                        "{}",
                        "The calls that the plain service supports."));
    }

    private static Group call() {
        return Group.of(
                Field.withDefault(
                        "repeatable",
                        new Bool(),
                        "false",
                        "Whether the service may run the call more than once."));
    }

    private static Group server() {
        return Group.of(
                Field.required("domain", new Text(), "The failure domain."),
                Field.required("address", new HttpUrl(), "The base URL."),
                Field.optional("model", new Text(), "The model that the server runs."),
                Field.optional("service", new Text(), "The plain service that the server runs."),
                Field.required("version", new Text(), "The version that the server runs."),
                Field.withDefault(
                        "generation", new Text(), "\"default\"", "The hardware generation."),
                Field.withDefault(
                        "places",
                        new IntegerRange(1, 10_000),
                        "8",
                        "The maximum number of requests that run concurrently."),
                Field.withDefault(
                        "cacheTokens",
                        new IntegerRange(0, MAX_TOKENS),
                        "0",
                        "The size of the prefix cache, in tokens."),
                Field.withDefault(
                        "canResume",
                        new Bool(),
                        "false",
                        "Whether the server can resume a stream from an offset."),
                Field.withDefault(
                        "checksFencing",
                        new Bool(),
                        "false",
                        "Whether the server refuses an order that carries an old fencing number."),
                Field.withDefault(
                        "leaving",
                        new Bool(),
                        "false",
                        "Whether the server must not receive new work."));
    }

    private static Group workspace() {
        return Group.of(
                Field.withDefault(
                        "keyHashes",
                        new ListOf(new KeyHash()),
                        "[]",
                        "The SHA-256 of each bearer key."),
                Field.withDefault(
                        "weight",
                        new IntegerRange(1, 1_000),
                        "1",
                        "The weight relative to other workspaces in the same tier."),
                Field.withDefault(
                        "maxWaiting",
                        new IntegerRange(1, 1_000_000),
                        "200",
                        "The maximum number of requests that wait or run on one entry host."),
                Field.withDefault(
                        "maxOutputTokens",
                        new IntegerRange(1, MAX_TOKENS),
                        "4000",
                        "The maximum number of output tokens that one request may ask for."),
                Field.withDefault(
                        "defaultTier",
                        new Text(),
                        "\"standard\"",
                        "The tier of a request that specifies none."),
                Field.withDefault(
                        "tiers",
                        new MapOf("tier", workspaceTier()),
                        "{}",
                        "Overrides of the fleet's tiers."),
                Field.optional(
                        "patience",
                        patience(),
                        "The daily window for patient work; all day if not set."));
    }

    private static Group workspaceTier() {
        return Group.of(
                Field.optional(
                        "deadlineMillis",
                        new IntegerRange(1, WEEK_MILLIS),
                        "The longest deadline that the workspace may request."),
                Field.withDefault(
                        "allowed", new Bool(), "true", "Whether the workspace may use the tier."));
    }

    private static Group patience() {
        return Group.of(
                Field.required("start", new TimeOfDay(), "The time when the window opens."),
                Field.required(
                        "end",
                        new TimeOfDay(),
                        "The time when the window closes; on the next day if not after the start."),
                Field.required("zone", new TimeZone(), "The time zone of both times."));
    }

    private static Group limits() {
        return Group.of(
                Field.withDefault(
                        "moveSpreadMillis",
                        new IntegerRange(100, 60_000),
                        "3000",
                        "How long before a rollout's completeBy time its outcome must be recorded,"
                                + " so that it reaches every host in time. Read when a host"
                                + " starts."),
                Field.withDefault(
                        "moveShares",
                        new ListOf(new NumberRange(0.001, 1)),
                        "[0.01,0.02,0.04]",
                        "The new version's share of requests at each step of a rollout, strictly"
                                + " increasing; the last share applies until the outcome. Read"
                                + " when a host starts."),
                Field.withDefault(
                        "moveSoakFraction",
                        new NumberRange(0, 1),
                        "0.8",
                        "The fraction of the time from a rollout's start to its completeBy time"
                                + " that must pass before it completes. Read when a host"
                                + " starts."),
                Field.withDefault(
                        "versionLoadsAtOnce",
                        new IntegerRange(1, 1_000),
                        "1",
                        "The maximum number of backend servers that load a version from the"
                                + " weight store concurrently. Read when a host starts."));
    }
}
