package org.orioleshed.admin;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * What the admin API asks of its entry host. Calls must not block; futures must end, normally or
 * not, and those that fail answer the operator with an internal error. Arguments have passed the
 * checks at the door: sizes, required fields, operator's role.
 */
public interface AdminBackend {
    /**
     * Reads the settings.
     *
     * @param path the branch or item wanted, names joined by dots; empty for the whole tree
     * @param effective whether inherited values are filled in
     */
    CompletableFuture<AdminReply> settings(String path, boolean effective);

    /** Checks a change of settings, and applies it unless it is a trial. */
    CompletableFuture<AdminReply> changeSettings(SettingsChange change);

    /** Compares two revisions; zero stands for the one in force. */
    CompletableFuture<AdminReply> settingsDiff(long fromRevision, long toRevision);

    /** Lists the last changes, the newest first. */
    CompletableFuture<AdminReply> settingsHistory(int limit);

    /** Tells which revision each host has in force. */
    CompletableFuture<AdminReply> settingsStatus();

    /** Plans a rollout. */
    CompletableFuture<AdminReply> planRollout(RolloutPlan plan);

    /** Lists all rollouts. */
    CompletableFuture<AdminReply> rollouts();

    /** Shows one rollout with its evidence. */
    CompletableFuture<AdminReply> rollout(String id);

    /** Takes a rollout back that has no outcome yet. */
    CompletableFuture<AdminReply> rollBack(String id, String author, String reason);

    /**
     * Waits for notices of rollouts.
     *
     * @param after the sequence number of the last notice seen; zero for none
     * @param waitMillis how long to wait when there is none, in milliseconds
     */
    CompletableFuture<Notices> notices(long after, long waitMillis);

    /** Lists the entry hosts as this one sees them. */
    CompletableFuture<AdminReply> hosts();

    /** Lists the backend servers with their homes and load. */
    CompletableFuture<AdminReply> servers();

    /**
     * Lists requests that wait or run on this host.
     *
     * @param workspace only those of this workspace, when given
     */
    CompletableFuture<AdminReply> requests(Optional<String> workspace, int limit);

    /** Lists the content that is held because it crashed backend servers. */
    CompletableFuture<AdminReply> poison();

    /** Lets held content run again; all of it when no fingerprint is given. */
    CompletableFuture<AdminReply> clearPoison(Optional<String> fingerprint, String author);

    /**
     * A change of settings.
     *
     * @param kind what to do at the path
     * @param path the branch or item, names joined by dots; empty for the whole tree
     * @param valueJson the new value as JSON, comments allowed; empty for {@link Kind#UNSET}
     * @param expectedRevision the revision that the operator looked at; zero to take the one in
     *     force
     * @param author the operator
     * @param reason why
     * @param trial only check, change nothing
     */
    record SettingsChange(
            Kind kind,
            String path,
            String valueJson,
            long expectedRevision,
            String author,
            String reason,
            boolean trial) {
        /** What a change does. */
        public enum Kind {
            /** Replace the value at the path. */
            SET,
            /** Remove the value at the path, so that it is inherited. */
            UNSET
        }
    }

    /**
     * A move to be planned.
     *
     * @param id the rollout's name; empty to have one made
     * @param target the model or service, as {@code model:NAME} or {@code service:NAME}
     * @param from the version that traffic leaves
     * @param to the version that traffic goes to
     * @param routes the routes; empty for all routes of the target
     * @param completeByMillis in milliseconds since the epoch
     * @param loads backend servers that must load the new version first
     * @param author the operator
     * @param reason why
     */
    record RolloutPlan(
            Optional<String> id,
            String target,
            String from,
            String to,
            List<String> routes,
            long completeByMillis,
            List<String> loads,
            String author,
            String reason) {
        /** Copies the lists. */
        public RolloutPlan {
            routes = List.copyOf(routes);
            loads = List.copyOf(loads);
        }
    }

    /** Notices of rollouts, the oldest first, and the number to ask after next time. */
    record Notices(List<Notice> notices, long last) {
        /** Copies the list. */
        public Notices {
            notices = List.copyOf(notices);
        }
    }

    /** One notice of a rollout. */
    record Notice(long sequence, String rollout, String kind, long epochMillis, String detail) {}
}
