package org.orioleshed.routing;

import java.util.List;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.Fingerprint;
import org.orioleshed.model.ModelId;
import org.orioleshed.model.Payload;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.RunId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.Tier;
import org.orioleshed.model.WorkspaceId;

/**
 * A message between the accepting host of a model request and the owner of a backend server. Each
 * message about a run names the request and the attempt, so lost, repeated and reordered messages
 * are harmless. Times are sent as durations, since the clocks of hosts are not synchronized.
 */
public sealed interface RoutingMessage {
    /**
     * Accepting host to owner: offers a run to {@code server}.
     *
     * @param run the run offered
     * @param server the backend server that the run is offered to
     * @param offer the description of the request
     */
    record Offered(RunId run, ServerId server, Offer offer) implements RoutingMessage {}

    /**
     * Owner to accepting host: a slot is reserved for a limited time.
     *
     * @param run the run
     * @param server the server with the slot
     * @param reservedMillis the time until the reservation expires, in milliseconds
     */
    record Granted(RunId run, ServerId server, long reservedMillis) implements RoutingMessage {}

    /**
     * Owner to accepting host: the offer is refused and no longer queued.
     *
     * @param run the run
     * @param server the server that the run was offered to
     * @param reason why the offer is refused
     * @param lowerTierRuns whether requests of a lower tier run or wait on the server
     * @param expectedWaitMillis the expected wait for a slot, in milliseconds
     */
    record Refused(
            RunId run,
            ServerId server,
            RefusalReason reason,
            boolean lowerTierRuns,
            long expectedWaitMillis)
            implements RoutingMessage {}

    /**
     * Accepting host to owner: the offer, or the slot reserved for it, is no longer needed.
     *
     * @param run the run
     * @param server the server that the run was offered to
     */
    record Withdrawn(RunId run, ServerId server) implements RoutingMessage {}

    /**
     * Accepting host to owner, after a grant: starts the run with the given body.
     *
     * @param run the run
     * @param server the server that granted a slot
     * @param body the request body for the engine
     * @param resumeFromToken the number of tokens that the caller has from earlier attempts
     * @param creditTokens the number of tokens that the owner may send before it receives more
     *     credit
     */
    record Placed(RunId run, ServerId server, Payload body, int resumeFromToken, int creditTokens)
            implements RoutingMessage {}

    /**
     * Owner to accepting host: a piece of the answer.
     *
     * @param run the run
     * @param firstToken the offset of the piece's first token in the whole answer
     * @param count the number of tokens
     * @param text the piece
     */
    record Tokens(RunId run, int firstToken, int count, Payload text) implements RoutingMessage {}

    /**
     * Accepting host to owner: the caller consumed tokens, so the owner may send more.
     *
     * @param run the run
     * @param tokens the number of additional tokens that may be sent
     */
    record Credit(RunId run, int tokens) implements RoutingMessage {}

    /**
     * Accepting host to owner: cancels the run.
     *
     * @param run the run
     */
    record Cancelled(RunId run) implements RoutingMessage {}

    /**
     * Owner to accepting host: the run has ended, and the engine is confirmed to work on it no
     * longer unless {@code end} states otherwise. Also the response to a placement that the owner
     * could not start.
     *
     * @param run the run
     * @param end how it ended
     */
    record Ended(RunId run, RunEnd end) implements RoutingMessage {}

    /**
     * Owner to the hosts of its own failure domain, periodically: the load of its servers.
     *
     * @param loads one entry for each server
     */
    record ServerLoads(List<ServerLoad> loads) implements RoutingMessage {
        /** Copies the list. */
        public ServerLoads {
            loads = List.copyOf(loads);
        }
    }

    /**
     * To hosts of other failure domains, periodically: total load by model.
     *
     * @param domain the failure domain that the loads are of
     * @param loads one entry for each model
     */
    record DomainLoads(FailureDomain domain, List<ModelLoad> loads) implements RoutingMessage {
        /** Copies the list. */
        public DomainLoads {
            loads = List.copyOf(loads);
        }
    }

    /**
     * The description of a request that is sent before its body.
     *
     * @param workspace the workspace
     * @param route the requested route
     * @param tier the tier
     * @param remainingMillis the time until the caller's deadline, in milliseconds
     * @param ageMillis the time since the request first arrived, in milliseconds; preserves its
     *     order over resends
     * @param promptTokens the estimated length of the prompt, in tokens
     * @param outputTokens the maximum number of tokens that the answer may still have; the owner
     *     estimates the length from the route's history
     * @param prefixHashes as in {@link org.orioleshed.model.Work.Generate}
     * @param preemptions the number of earlier preemptions of the request
     * @param fingerprint the digest of the content
     */
    record Offer(
            WorkspaceId workspace,
            RouteId route,
            Tier tier,
            long remainingMillis,
            long ageMillis,
            int promptTokens,
            int outputTokens,
            List<Long> prefixHashes,
            int preemptions,
            Fingerprint fingerprint) {
        /** Copies the list. */
        public Offer {
            prefixHashes = List.copyOf(prefixHashes);
        }
    }

    /** The reason why an owner refused an offer. */
    enum RefusalReason {
        /** The queue is full, or the deadline cannot be met. */
        OVERLOAD,
        /** This host is not the server's owner. */
        NOT_HOME,
        /** The server is leaving, unknown or unreachable. */
        NO_SERVER,
        /** This host is shutting down. */
        DRAINING,
        /** The content is quarantined as poison. */
        POISON
    }

    /**
     * The load of one backend server, as estimated by its owner.
     *
     * @param server the server
     * @param running the number of requests that run or have a slot reserved
     * @param limit the number of requests that may run at once at present
     * @param waitMillisByRank the expected wait of a request of each tier rank, in milliseconds,
     *     rank zero first
     * @param prefillTokensPerSecond the observed prefill speed, in tokens per second; zero without
     *     samples
     * @param tokenGapMillis the observed time between tokens at the current load, in milliseconds;
     *     zero without samples
     */
    record ServerLoad(
            ServerId server,
            int running,
            int limit,
            List<Long> waitMillisByRank,
            int prefillTokensPerSecond,
            int tokenGapMillis) {
        /** Copies the list. */
        public ServerLoad {
            waitMillisByRank = List.copyOf(waitMillisByRank);
        }
    }

    /**
     * The load of one model in one failure domain.
     *
     * @param model the model
     * @param servers the number of servers that take work
     * @param freePlaces the number of free slots over all of them
     * @param waitMillisByRank the shortest expected wait by tier rank, in milliseconds
     * @param best the few servers with the shortest wait, the best first
     */
    record ModelLoad(
            ModelId model,
            int servers,
            int freePlaces,
            List<Long> waitMillisByRank,
            List<ServerId> best) {
        /** Copies the lists. */
        public ModelLoad {
            waitMillisByRank = List.copyOf(waitMillisByRank);
            best = List.copyOf(best);
        }
    }
}
