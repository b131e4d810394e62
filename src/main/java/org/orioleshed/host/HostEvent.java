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

/** An event for an entry host. */
public sealed interface HostEvent {
    /** A caller's request passed the checks of the HTTP handler. */
    record RequestArrived(Request request) implements HostEvent {}

    /** The caller's connection closed before the answer was complete. */
    record CallerGone(RequestId request) implements HostEvent {}

    /** The caller's connection accepted {@code tokens} more tokens. */
    record CallerConsumed(RequestId request, int tokens) implements HostEvent {}

    /**
     * A caller requested the status of a key; answered by {@link HostAction.ReplyStatus} with the
     * same ticket.
     */
    record StatusRequested(long ticket, RequestKey key) implements HostEvent {}

    /** A peer sent a message about offers and runs. */
    record RoutingReceived(HostId from, RoutingMessage message) implements HostEvent {}

    /** A peer sent a message about idempotency keys, request statuses and poison. */
    record RequestReceived(HostId from, RequestMessage message) implements HostEvent {}

    /** An engine accepted a run. */
    record RunAccepted(RunId run, ServerId server) implements HostEvent {}

    /** An engine sent tokens; {@code firstToken} is their offset in the whole answer. */
    record RunTokens(RunId run, ServerId server, int firstToken, int count, Payload text)
            implements HostEvent {}

    /**
     * A run on an engine ended. Engines never report {@link RunEnd.Preempted} or {@link
     * RunEnd.NeverStarted}.
     */
    record RunEnded(RunId run, ServerId server, RunEnd end) implements HostEvent {}

    /** A call to a plain service ended. */
    record CallEnded(RunId run, ServerId server, CallEnd end) implements HostEvent {}

    /** An engine reported its load, as it was {@code ageMillis} ago. */
    record LoadReported(ServerId server, int running, int waiting, long ageMillis)
            implements HostEvent {}

    /**
     * An engine reported which prefix blocks it stored and evicted; delayed, and possibly with
     * gaps.
     */
    record CacheReported(ServerId server, List<Long> stored, List<Long> evicted, boolean gap)
            implements HostEvent {
        /** Copies the lists. */
        public CacheReported {
            stored = List.copyOf(stored);
            evicted = List.copyOf(evicted);
        }
    }

    /** The store answered the action with the same ticket. */
    record StoreAnswered(long ticket, StoreAnswer answer) implements HostEvent {}

    /** The membership view, the settings or the traffic split changed. */
    record FleetChanged(FleetSnapshot fleet) implements HostEvent {}

    /** A stop of the process was requested: accept nothing new and finish what runs. */
    record DrainRequested() implements HostEvent {}

    /**
     * The drain timeout after {@link DrainRequested} expired; requests that remain get their
     * outcome now.
     */
    record DrainTimedOut() implements HostEvent {}

    /**
     * Reports the host's wall clock, used only for daily windows; sent at the start and at least
     * every minute.
     *
     * @param epochMillis milliseconds since 1970-01-01T00:00Z
     */
    record WallClock(long epochMillis) implements HostEvent {}

    /** Time passed; sent at least every 20 ms. */
    record Tick() implements HostEvent {}

    /** How a call to a plain service ended. */
    sealed interface CallEnd {
        /** The service answered. */
        record Answered(int status, Payload body) implements CallEnd {}

        /** The connection could not be established, so nothing was sent. */
        record NeverSent(String detail) implements CallEnd {}

        /** The connection broke or timed out after the call was sent. */
        record Broken(String detail) implements CallEnd {}
    }

    /** The store's answer to a read or a compare-and-swap. */
    sealed interface StoreAnswer {
        /**
         * The value read, empty if the key does not exist, with its modification revision (zero if
         * there is none).
         */
        record Value(Optional<Payload> value, long revision) implements StoreAnswer {}

        /** The compare-and-swap took effect at {@code revision}. */
        record Swapped(long revision) implements StoreAnswer {}

        /** The compare-and-swap did not take effect; carries the current value. */
        record Conflict(Optional<Payload> value, long revision) implements StoreAnswer {}

        /** The answer was lost: a write may or may not have taken effect. */
        record Unknown(String detail) implements StoreAnswer {}

        /** The store refused the call or was not called, so a write did not take effect. */
        record Unavailable(String detail) implements StoreAnswer {}
    }
}
