package org.orioleshed.host;

import java.util.List;
import java.util.Optional;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Payload;
import org.orioleshed.model.Request;
import org.orioleshed.model.RequestId;
import org.orioleshed.model.RequestKey;
import org.orioleshed.model.RunId;
import org.orioleshed.model.ServerId;
import org.orioleshed.request.RequestMessage;
import org.orioleshed.routing.RoutingMessage;
import org.orioleshed.routing.RunEnd;

/** What can happen to an entry host. */
public sealed interface HostEvent {
    /** A caller's request passed the checks at the door. */
    record RequestArrived(Request request) implements HostEvent {}

    /** The caller's connection closed before its answer was whole. */
    record CallerGone(RequestId request) implements HostEvent {}

    /** The caller's connection took {@code tokens} more tokens. */
    record CallerConsumed(RequestId request, int tokens) implements HostEvent {}

    /**
     * A caller asks for the request status of a key; answered by {@link HostAction.ReplyStatus}
     * with the same ticket.
     */
    record StatusRequested(long ticket, RequestKey key) implements HostEvent {}

    /** A message about offers and runs. */
    record RoutingReceived(HostId from, RoutingMessage message) implements HostEvent {}

    /** A message about keys, request statuses and poison. */
    record RequestReceived(HostId from, RequestMessage message) implements HostEvent {}

    /** A run's engine accepted it. */
    record RunAccepted(RunId run, ServerId server) implements HostEvent {}

    /** A run's engine sent tokens; {@code firstToken} is the offset in the whole answer. */
    record RunTokens(RunId run, ServerId server, int firstToken, int count, Payload text)
            implements HostEvent {}

    /**
     * A run on an engine ended. {@link RunEnd.Preempted} and {@link RunEnd.NeverStarted} never come
     * from an engine.
     */
    record RunEnded(RunId run, ServerId server, RunEnd end) implements HostEvent {}

    /** A plain service's call ended. */
    record CallEnded(RunId run, ServerId server, CallEnd end) implements HostEvent {}

    /** A load report of an engine, stale by its nature. */
    record LoadReported(ServerId server, int running, int waiting, long ageMillis)
            implements HostEvent {}

    /** Prefix blocks that an engine dropped or kept, late and with gaps. */
    record CacheReported(ServerId server, List<Long> stored, List<Long> evicted, boolean gap)
            implements HostEvent {
        /** Copies the lists. */
        public CacheReported {
            stored = List.copyOf(stored);
            evicted = List.copyOf(evicted);
        }
    }

    /** The store's answer to the action with the same ticket. */
    record StoreAnswered(long ticket, StoreAnswer answer) implements HostEvent {}

    /** The membership view, the settings or the division of versions changed. */
    record FleetChanged(FleetSnapshot fleet) implements HostEvent {}

    /** The process was asked to stop: take nothing new, finish what runs. */
    record DrainRequested() implements HostEvent {}

    /**
     * The time to finish after {@link DrainRequested} is over: what is left gets its outcome now.
     */
    record DrainTimedOut() implements HostEvent {}

    /**
     * The host's wall clock, for daily windows only; comes at the start and at least every minute.
     *
     * @param epochMillis milliseconds since 1970-01-01T00:00Z
     */
    record WallClock(long epochMillis) implements HostEvent {}

    /** Time passed; comes at least every 20 ms. */
    record Tick() implements HostEvent {}

    /** How a plain service's call ended. */
    sealed interface CallEnd {
        /** The service answered. */
        record Answered(int status, Payload body) implements CallEnd {}

        /** The connection could not be made: not a byte left this host. */
        record NeverSent(String detail) implements CallEnd {}

        /** The connection broke or went silent after the call was sent. */
        record Broken(String detail) implements CallEnd {}
    }

    /** What the store said to a read or a compare-and-swap. */
    sealed interface StoreAnswer {
        /**
         * The value read, empty when the key does not exist, with its modification revision (zero
         * when none).
         */
        record Value(Optional<Payload> value, long revision) implements StoreAnswer {}

        /** The compare-and-swap took effect at {@code revision}. */
        record Swapped(long revision) implements StoreAnswer {}

        /** The compare-and-swap did not take effect; the present value is given. */
        record Conflict(Optional<Payload> value, long revision) implements StoreAnswer {}

        /** The answer was lost: a write may or may not have taken effect. */
        record Unknown(String detail) implements StoreAnswer {}

        /** The store refused or was not asked: a write did not take effect. */
        record Unavailable(String detail) implements StoreAnswer {}
    }
}
