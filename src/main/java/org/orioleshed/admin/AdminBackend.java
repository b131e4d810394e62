package org.orioleshed.admin;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The operations of an entry host that the admin API exposes. Methods must not block. Each returned
 * future must complete, normally or exceptionally; the operator receives an internal error for a
 * future that completes exceptionally. The admin server has validated sizes, required fields and
 * the operator's role before it calls a method.
 */
public interface AdminBackend {
    /**
     * Reads the settings.
     *
     * @param path the branch or item, as names joined by dots; empty for the whole tree
     * @param effective whether inherited values are included
     */
    CompletableFuture<AdminReply> settings(String path, boolean effective);

    /** Validates a change of settings, and applies it unless it is a trial. */
    CompletableFuture<AdminReply> changeSettings(SettingsChange change);

    /** Compares two revisions; zero stands for the revision in force. */
    CompletableFuture<AdminReply> settingsDiff(long fromRevision, long toRevision);

    /** Lists the latest changes, newest first. */
    CompletableFuture<AdminReply> settingsHistory(int limit);

    /** Lists the revision in force on each host. */
    CompletableFuture<AdminReply> settingsStatus();

    /** Plans a rollout. */
    CompletableFuture<AdminReply> planRollout(RolloutPlan plan);

    /** Lists all rollouts. */
    CompletableFuture<AdminReply> rollouts();

    /** Returns one rollout with its evidence. */
    CompletableFuture<AdminReply> rollout(String id);

    /** Rolls back a rollout that has no outcome yet. */
    CompletableFuture<AdminReply> rollBack(String id, String author, String reason);

    /**
     * Waits for notices of rollouts.
     *
     * @param after the sequence number of the last notice received; zero for none
     * @param waitMillis how long to wait if there is no later notice, in milliseconds
     */
    CompletableFuture<Notices> notices(long after, long waitMillis);

    /** Lists the entry hosts in the fleet snapshot of this host. */
    CompletableFuture<AdminReply> hosts();

    /** Lists the backend servers with their owners and states. */
    CompletableFuture<AdminReply> servers();

    /**
     * Lists the open requests of callers on this host.
     *
     * @param workspace limits the list to this workspace, if present
     */
    CompletableFuture<AdminReply> requests(Optional<String> workspace, int limit);

    /** Lists the content that is quarantined because it crashed backend servers. */
    CompletableFuture<AdminReply> poison();

    /** Releases quarantined content; all of it if no fingerprint is given. */
    CompletableFuture<AdminReply> clearPoison(Optional<String> fingerprint, String author);

    /**
     * A change of settings.
     *
     * @param kind the operation at the path
     * @param path the branch or item, as names joined by dots; empty for the whole tree
     * @param valueJson the new value as JSON, comments allowed; empty for {@link Kind#UNSET}
     * @param expectedRevision the revision that the change is based on; zero for the revision in
     *     force
     * @param author the name of the operator
     * @param reason the reason given by the operator
     * @param trial whether to validate only, without any change
     */
    record SettingsChange(
            Kind kind,
            String path,
            String valueJson,
            long expectedRevision,
            String author,
            String reason,
            boolean trial) {
        /** The operation of a change. */
        public enum Kind {
            /** Replaces the value at the path. */
            SET,
            /** Removes the value at the path, so that it is inherited. */
            UNSET
        }
    }

    /**
     * A rollout to be planned.
     *
     * @param id the rollout's name; empty to generate one
     * @param target the model or service, as {@code model:NAME} or {@code service:NAME}
     * @param from the version that traffic moves away from
     * @param to the version that traffic moves to
     * @param routes the routes; empty for all routes of the target
     * @param completeByMillis the deadline of the rollout, in milliseconds since the epoch
     * @param loads the backend servers that must load the new version first
     * @param author the name of the operator
     * @param reason the reason given by the operator
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

    /**
     * Notices of rollouts.
     *
     * @param notices the notices, oldest first
     * @param last the sequence number to pass as {@code after} in the next call
     */
    record Notices(List<Notice> notices, long last) {
        /** Copies the list. */
        public Notices {
            notices = List.copyOf(notices);
        }
    }

    /**
     * One notice of a rollout.
     *
     * @param sequence the sequence number
     * @param rollout the rollout's name
     * @param kind the kind of the notice
     * @param epochMillis the time, in milliseconds since the epoch
     * @param detail the explanation for the operator
     */
    record Notice(long sequence, String rollout, String kind, long epochMillis, String detail) {}
}
