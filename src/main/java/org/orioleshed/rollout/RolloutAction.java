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

/** What {@link RolloutCore} asks for. */
public sealed interface RolloutAction {
    /**
     * Replace a key's value in the store if its modification revision is still {@code
     * expectedRevision}; answered by {@link RolloutEvent.SwapResult}.
     *
     * @param ticket names the call
     * @param key the key
     * @param expectedRevision zero when the key must not exist
     * @param value the new value
     * @param leaseId the lease that the key hangs on; zero for none
     * @param timeoutMillis after this time without an answer it is {@link
     *     RolloutEvent.SwapAnswer.Unknown}
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
     * How traffic divides now; replaces what was said before.
     *
     * @param splits for each route with a rollout under way, how its traffic divides
     * @param currentVersions for each route whose move has an outcome, the version to use; goes
     *     before the settings' own
     * @param heldBack backend servers of new versions that get no work for now, so that the few
     *     requests load the others as the old version's servers are loaded
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

    /** Tell the operators, by log and admin watch. */
    record Notice(RolloutId rollout, Kind kind, long epochMillis, String detail)
            implements RolloutAction {
        /** What the operators are told. */
        public enum Kind {
            /** The coordinator took a step. */
            STEP,
            /** This host's breaker tripped. */
            FUSE,
            /** This host concluded "back" by itself; the recorded outcome is still to come. */
            CONCLUDED_BACK,
            /** The recorded outcome: completed. */
            COMPLETED,
            /** The recorded outcome: taken back. */
            TAKEN_BACK,
            /** A fault showed after completion; this host uses the old version again. */
            FAULT_AFTER_COMPLETION,
            /** A value in the store is no valid record. */
            BAD_RECORD
        }
    }

    /**
     * Give a backend server an order, as {@code POST /v1/orders}; idempotent. Answered by {@link
     * RolloutEvent.OrderAnswered}.
     */
    record Order(ServerId server, ServerOrder order, long fence) implements RolloutAction {}

    /** Read a backend server's state back; answered by {@link RolloutEvent.StateRead}. */
    record ReadState(ServerId server) implements RolloutAction {}
}
