package org.orioleshed.rollout;

import java.util.List;
import java.util.Optional;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Payload;
import org.orioleshed.model.RolloutId;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.VersionId;

/** Input events of {@link RolloutCore}. */
public sealed interface RolloutEvent {
    /**
     * A run that this host accepted ended on a backend server. Must be reported for every run; runs
     * of routes without a rollout are ignored.
     */
    record Observed(RouteId route, VersionId version, ServerId server, RunResult result)
            implements RolloutEvent {}

    /**
     * A rollout's record was read or watched, or a read did not find it.
     *
     * @param value empty when the key does not exist
     * @param revision the key's modification revision; zero when it does not exist
     */
    record RecordRead(RolloutId rollout, Optional<Payload> value, long revision)
            implements RolloutEvent {}

    /**
     * All records under {@link RolloutRecord#KEY_PREFIX}, the answer to {@link
     * RolloutAction.ListRecords}.
     */
    record RecordsListed(List<RecordRead> records) implements RolloutEvent {
        /** Copies the list. */
        public RecordsListed {
            records = List.copyOf(records);
        }
    }

    /** The answer to {@link RolloutAction.GrantLease} or {@link RolloutAction.KeepLease}. */
    record LeaseResult(long ticket, LeaseAnswer answer) implements RolloutEvent {}

    /** The answer to {@link RolloutAction.SwapRecord}. */
    record SwapResult(long ticket, SwapAnswer answer) implements RolloutEvent {}

    /** A peer sent a message about rollouts. */
    record PeerReceived(HostId from, RolloutMessage message) implements RolloutEvent {}

    /** The membership view or the settings changed. */
    record FleetChanged(FleetSnapshot fleet) implements RolloutEvent {}

    /** The answer to {@link RolloutAction.Order}: whether the server accepted the order. */
    record OrderAnswered(ServerId server, long fence, boolean accepted) implements RolloutEvent {}

    /** The answer to {@link RolloutAction.ReadState}; empty when the state could not be read. */
    record StateRead(ServerId server, Optional<VersionId> version) implements RolloutEvent {}

    /**
     * Time passed; must occur at least every 100 ms.
     *
     * @param epochMillis the host's wall clock, in milliseconds since the epoch
     */
    record Tick(long epochMillis) implements RolloutEvent {}

    /** The store's answer about a lease. */
    sealed interface LeaseAnswer {
        /** The lease is valid for {@code ttlMillis} from the time of the request. */
        record Held(long leaseId, long ttlMillis) implements LeaseAnswer {}

        /** The lease is not valid. */
        record Lost(String detail) implements LeaseAnswer {}

        /** The store did not answer; the state of the lease is unchanged. */
        record Unavailable(String detail) implements LeaseAnswer {}
    }

    /** The store's answer about a swap. */
    sealed interface SwapAnswer {
        /** The swap took effect. */
        record Swapped(long revision) implements SwapAnswer {}

        /** The swap did not take effect; holds the present value. */
        record Conflict(Optional<Payload> value, long revision) implements SwapAnswer {}

        /** The answer was lost; the swap may have taken effect. */
        record Unknown(String detail) implements SwapAnswer {}

        /** The swap did not take effect: the request was not sent to the store. */
        record Unavailable(String detail) implements SwapAnswer {}
    }
}
