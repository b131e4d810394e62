package org.orioleshed.rollout;

import java.util.Map;
import java.util.Set;
import org.orioleshed.fleet.VersionSplit;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Payload;
import org.orioleshed.model.RolloutId;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.VersionId;

/** Actions requested by {@link RolloutCore}. */
public sealed interface RolloutAction {
    /**
     * Replace a key's value in the store if its modification revision is still {@code
     * expectedRevision}; answered by {@link RolloutEvent.SwapResult}.
     *
     * @param ticket identifies the call
     * @param key the key
     * @param expectedRevision zero when the key must not exist
     * @param value the new value
     * @param leaseId the lease that the key is attached to; zero for none
     * @param timeoutMillis the time after which a call without an answer counts as {@link
     *     RolloutEvent.SwapAnswer.Unknown}, in milliseconds
     */
    record SwapRecord(
            long ticket,
            String key,
            long expectedRevision,
            Payload value,
            long leaseId,
            long timeoutMillis)
            implements RolloutAction {}

    /** Read one rollout's record; answered by {@link RolloutEvent.RecordRead}, or not at all. */
    record ReadRecord(RolloutId rollout) implements RolloutAction {}

    /**
     * Read all rollouts' records; answered by {@link RolloutEvent.RecordsListed}, or not at all.
     */
    record ListRecords() implements RolloutAction {}

    /** Grant a lease; answered by {@link RolloutEvent.LeaseResult}. */
    record GrantLease(long ticket, long ttlMillis) implements RolloutAction {}

    /** Keep a lease alive; answered by {@link RolloutEvent.LeaseResult}. */
    record KeepLease(long ticket, long leaseId) implements RolloutAction {}

    /** Send a message to a peer; it may be lost. */
    record SendMessage(HostId to, RolloutMessage message) implements RolloutAction {}

    /**
     * The current traffic split; replaces the previous one.
     *
     * @param splits the traffic split of each route with an open rollout
     * @param currentVersions the version to use for each route whose rollout has an outcome;
     *     overrides the settings
     * @param heldBack backend servers of new versions that currently get no work, so that few
     *     requests load the remaining servers like those of the old version
     */
    record SplitChanged(
            Map<RouteId, VersionSplit> splits,
            Map<RouteId, VersionId> currentVersions,
            Set<ServerId> heldBack)
            implements RolloutAction {
        /** Copies the collections. */
        public SplitChanged {
            splits = Map.copyOf(splits);
            currentVersions = Map.copyOf(currentVersions);
            heldBack = Set.copyOf(heldBack);
        }
    }

    /** Notify the operators through the log and the admin watch. */
    record Notice(RolloutId rollout, Kind kind, long epochMillis, String detail)
            implements RolloutAction {
        /** The kind of a notice. */
        public enum Kind {
            /** The coordinator took a step. */
            STEP,
            /** This host's breaker tripped. */
            FUSE,
            /** This host rolled back by itself at the deadline; no outcome is recorded yet. */
            CONCLUDED_BACK,
            /** The outcome "completed" was recorded. */
            COMPLETED,
            /** The outcome "rolled back" was recorded. */
            TAKEN_BACK,
            /** A fault was detected after completion; this host uses the old version again. */
            FAULT_AFTER_COMPLETION,
            /** A value in the store is not a valid record. */
            BAD_RECORD
        }
    }

    /**
     * Send an order to a backend server, as {@code POST /v1/orders}; idempotent. Answered by {@link
     * RolloutEvent.OrderAnswered}.
     */
    record Order(ServerId server, ServerOrder order, long fence) implements RolloutAction {}

    /** Read a backend server's state; answered by {@link RolloutEvent.StateRead}. */
    record ReadState(ServerId server) implements RolloutAction {}
}
