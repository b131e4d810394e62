package org.orioleshed.settings;

import java.util.List;
import org.orioleshed.settings.FieldType.Choice;
import org.orioleshed.settings.FieldType.Flag;
import org.orioleshed.settings.FieldType.Fraction;
import org.orioleshed.settings.FieldType.Group;
import org.orioleshed.settings.FieldType.HostPort;
import org.orioleshed.settings.FieldType.HttpAddress;
import org.orioleshed.settings.FieldType.KeyHash;
import org.orioleshed.settings.FieldType.ListOf;
import org.orioleshed.settings.FieldType.MapOf;
import org.orioleshed.settings.FieldType.Text;
import org.orioleshed.settings.FieldType.TimeOfDay;
import org.orioleshed.settings.FieldType.TreeOf;
import org.orioleshed.settings.FieldType.Whole;
import org.orioleshed.settings.FieldType.Zone;

/** The one statement of all settings: checks, defaults, docs and help come from here. */
final class Schema {
    private static final long DAY_MILLIS = 86_400_000;
    private static final long WEEK_MILLIS = 7 * DAY_MILLIS;
    private static final long MAX_TOKENS = 1_000_000_000;

    /** The entry host's own file. */
    static final Group ENTRY =
            Group.of(
                    Field.required("host", host(), "Who this entry host is."),
                    Field.required("addresses", addresses(), "Where it listens."),
                    Field.withDefault(
                            "peers",
                            new ListOf(peer()),
                            "[]",
                            "Entry hosts to ask for the fleet when the store is away."),
                    Field.required("store", store(), "The platform's key-value service."),
                    Field.withDefault(
                            "operators",
                            new ListOf(operator()),
                            "[]",
                            "Who may use the admin API."),
                    Field.withDefault(
                            "drainMillis",
                            new Whole(0, 10 * 60_000),
                            "30000",
                            "The longest that a graceful stop waits for running requests."),
                    Field.withDefault(
                            "policy",
                            new Choice(List.of("orioleshed", "naive")),
                            "\"orioleshed\"",
                            "Which decisions to use; naive is there to compare with."));

    /** The fleet's tree of settings. */
    static final Group TREE =
            Group.of(
                    Field.withDefault(
                            "tiers",
                            new MapOf("tier", tier()),
                            "{\"urgent\":{\"rank\":0},\"standard\":{\"rank\":1},"
                                    + "\"patient\":{\"rank\":2}}",
                            "Tiers of urgency."),
                    Field.withDefault(
                            "routes",
                            new MapOf("route", route()),
                            "{}",
                            "The names that callers ask for, and what they lead to."),
                    Field.withDefault(
                            "servers", new TreeOf("server", server()), "{}", "Backend servers."),
                    Field.withDefault(
                            "workspaces",
                            new TreeOf("workspace", workspace()),
                            "{}",
                            "Workspaces."),
                    Field.withDefault("limits", limits(), "{}", "Limits of the whole fleet."),
                    Field.withDefault(
                            "currentVersions",
                            new MapOf("route", new Text()),
                            "{}",
                            "For each route, the version to use while no move is under way."));

    private Schema() {}

    private static Group host() {
        return Group.of(
                Field.required("id", new Text(), "The host's id, unique in the fleet."),
                Field.required("domain", new Text(), "Its failure domain."));
    }

    private static Group addresses() {
        return Group.of(
                Field.required("caller", new HostPort(), "For callers."),
                Field.required("peer", new HostPort(), "For other entry hosts."),
                Field.optional("admin", new HostPort(), "For operators; off when not stated."));
    }

    private static Group peer() {
        return Group.of(
                Field.required("id", new Text(), "The peer's id."),
                Field.required("domain", new Text(), "Its failure domain."),
                Field.required("peerAddress", new HostPort(), "Its address for peers."));
    }

    private static Group store() {
        return Group.of(
                Field.required(
                        "addresses", new ListOf(new HttpAddress()), "Tried one after another."));
    }

    private static Group operator() {
        return Group.of(
                Field.required("name", new Text(), "The operator's name, for the audit log."),
                Field.required("keyHash", new KeyHash(), "The SHA-256 of the operator's key."),
                Field.withDefault(
                        "role",
                        new Choice(List.of("read", "change")),
                        "\"read\"",
                        "What the operator may do."));
    }

    private static Group tier() {
        return Group.of(
                Field.required("rank", new Whole(0, 100), "Zero for the most urgent."),
                Field.withDefault(
                        "deadlineMillis",
                        new Whole(1, WEEK_MILLIS),
                        "86400000",
                        "The longest deadline that a workspace may ask for, unless it says"
                                + " otherwise."));
    }

    private static Group route() {
        return Group.of(
                Field.optional("model", new Text(), "The model that it leads to."),
                Field.optional("service", new Text(), "The plain service that it leads to."),
                Field.withDefault(
                        "calls",
                        new MapOf("call", call()),
                        "{}",
                        "The calls that a plain service knows."));
    }

    private static Group call() {
        return Group.of(
                Field.withDefault(
                        "repeatable",
                        new Flag(),
                        "false",
                        "Whether the service may run a call more than once."));
    }

    private static Group server() {
        return Group.of(
                Field.required("domain", new Text(), "The failure domain."),
                Field.required("address", new HttpAddress(), "The base address."),
                Field.optional("model", new Text(), "The model that it runs."),
                Field.optional("service", new Text(), "The plain service that it runs."),
                Field.required("version", new Text(), "The version that it runs."),
                Field.withDefault(
                        "generation", new Text(), "\"default\"", "The hardware generation."),
                Field.withDefault(
                        "places", new Whole(1, 10_000), "8", "Requests that may run at once."),
                Field.withDefault(
                        "cacheTokens",
                        new Whole(0, MAX_TOKENS),
                        "0",
                        "The size of the prefix cache, in tokens."),
                Field.withDefault(
                        "canResume",
                        new Flag(),
                        "false",
                        "Whether it resumes a stream from an offset."),
                Field.withDefault(
                        "checksFencing",
                        new Flag(),
                        "false",
                        "Whether it refuses an order that carries an old fencing number."),
                Field.withDefault(
                        "leaving", new Flag(), "false", "Whether it must get no new work."));
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
                        new Whole(1, 1_000),
                        "1",
                        "The share against other workspaces in the same tier."),
                Field.withDefault(
                        "maxWaiting",
                        new Whole(1, 1_000_000),
                        "200",
                        "Requests that may wait or run on one entry host."),
                Field.withDefault(
                        "maxOutputTokens",
                        new Whole(1, MAX_TOKENS),
                        "4000",
                        "The most tokens that one request may ask for."),
                Field.withDefault(
                        "defaultTier",
                        new Text(),
                        "\"standard\"",
                        "The tier of a request that names none."),
                Field.withDefault(
                        "tiers",
                        new MapOf("tier", workspaceTier()),
                        "{}",
                        "What differs from the fleet's tiers."),
                Field.optional(
                        "patience",
                        patience(),
                        "The daily window for patient work; all day when not stated."));
    }

    private static Group workspaceTier() {
        return Group.of(
                Field.optional(
                        "deadlineMillis",
                        new Whole(1, WEEK_MILLIS),
                        "The longest deadline that the workspace may ask for."),
                Field.withDefault(
                        "allowed", new Flag(), "true", "Whether the workspace may use the tier."));
    }

    private static Group patience() {
        return Group.of(
                Field.required("start", new TimeOfDay(), "When the window opens."),
                Field.required(
                        "end", new TimeOfDay(), "When it closes; on the next day if not later."),
                Field.required("zone", new Zone(), "The time zone of both."));
    }

    private static Group limits() {
        return Group.of(
                Field.withDefault(
                        "moveSpreadMillis",
                        new Whole(100, 60_000),
                        "3000",
                        "How long before a move's time its outcome must be recorded, so that"
                                + " every host knows it by then. Read at a host's start."),
                Field.withDefault(
                        "moveShares",
                        new ListOf(new Fraction(0.001, 1)),
                        "[0.01,0.02,0.04]",
                        "The new version's share of requests at each step of a move, growing; the"
                                + " last is kept until the outcome. Read at a host's start."),
                Field.withDefault(
                        "moveSoakFraction",
                        new Fraction(0, 1),
                        "0.8",
                        "The part of a move's time that must pass before it completes. Read at a"
                                + " host's start."),
                Field.withDefault(
                        "versionLoadsAtOnce",
                        new Whole(1, 1_000),
                        "1",
                        "Backend servers that may load a version from the weight store at"
                                + " once. Read at a host's start."));
    }
}
