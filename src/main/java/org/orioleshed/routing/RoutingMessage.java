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
 * What the accepting host of a model request and the owner of a backend server say to each other.
 * Each message names the run, that is the request and the attempt, so lost, repeated and reordered
 * ones are harmless. Durations travel as time remaining, since clocks of hosts are not in step.
 */
public sealed interface RoutingMessage {
    /**
     * Accepting host to owner: will you run this on {@code server}?
     *
     * @param run the run offered
     * @param server the backend server asked for
     * @param offer what the owner needs to know of the request
     */
    record Offered(RunId run, ServerId server, Offer offer) implements RoutingMessage {}

    /**
     * Owner to accepting host: a place is reserved for a short time.
     *
     * @param run the run
     * @param server the server with the place
     * @param reservedMillis how long the place is kept, in milliseconds
     */
    record Granted(RunId run, ServerId server, long reservedMillis) implements RoutingMessage {}

    /**
     * Owner to accepting host: the offer is turned down and no longer held.
     *
     * @param run the run
     * @param server the server asked for
     * @param reason why
     * @param lowerTierRuns whether work of a lower tier runs or waits on the server
     * @param expectedWaitMillis how long the wait would be, in milliseconds
     */
    record Refused(
            RunId run,
            ServerId server,
            RefusalReason reason,
            boolean lowerTierRuns,
            long expectedWaitMillis)
            implements RoutingMessage {}

    /**
     * Accepting host to owner: the offer, or the place reserved for it, is not needed.
     *
     * @param run the run
     * @param server the server asked for
     */
    record Withdrawn(RunId run, ServerId server) implements RoutingMessage {}

    /**
     * Accepting host to owner, on a grant: here is the body, run it.
     *
     * @param run the run
     * @param server the server that was granted
     * @param body the body for the engine
     * @param resumeFromToken how many tokens the caller has from earlier attempts
     * @param creditTokens how many tokens the owner may send before it hears of more credit
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
     * Accepting host to owner: the caller took tokens, send more.
     *
     * @param run the run
     * @param tokens the further tokens that may be sent
     */
    record Credit(RunId run, int tokens) implements RoutingMessage {}

    /**
     * Accepting host to owner: stop the run.
     *
     * @param run the run
     */
    record Cancelled(RunId run) implements RoutingMessage {}

    /**
     * Owner to accepting host: the run is over, and it is known that the engine no longer works on
     * it unless {@code end} says otherwise. Also the answer to a placement that the owner could not
     * honour.
     *
     * @param run the run
     * @param end how it ended
     */
    record Ended(RunId run, RunEnd end) implements RoutingMessage {}

    /**
     * Owner to hosts of its own failure domain, at intervals: the load of its servers.
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
     * To hosts of other failure domains, at intervals: load summed by model.
     *
     * @param domain the failure domain described
     * @param loads one entry for each model
     */
    record DomainLoads(FailureDomain domain, List<ModelLoad> loads) implements RoutingMessage {
        /** Copies the list. */
        public DomainLoads {
            loads = List.copyOf(loads);
        }
    }

    /**
     * What an owner needs to know of a request before it has the body.
     *
     * @param workspace the workspace
     * @param route the route asked for
     * @param tier the tier
     * @param remainingMillis the time until the caller's deadline, in milliseconds
     * @param ageMillis the time since the request first arrived, in milliseconds; keeps its order
     *     over resends
     * @param promptTokens the estimated length of the prompt, in tokens
     * @param outputTokens the most tokens that the answer may still have; the owner estimates the
     *     length from the route's history
     * @param prefixHashes as in {@link org.orioleshed.model.Work.Generate}
     * @param preemptions how often the request was preempted before
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

    /** Why an owner turned an offer down. */
    enum RefusalReason {
        /** The queue is full, or the deadline can't be met. */
        OVERLOAD,
        /** This host is not the server's owner. */
        NOT_HOME,
        /** The server is leaving, unknown or unreachable. */
        NO_SERVER,
        /** This host is shutting down. */
        DRAINING,
        /** The content is held as poison. */
        POISON
    }

    /**
     * The load of one backend server as its owner sees it.
     *
     * @param server the server
     * @param running requests that run
     * @param limit requests that the owner lets run at once at present
     * @param waitMillisByRank the expected wait of a request of each tier rank, in milliseconds,
     *     rank zero first
     * @param prefillTokensPerSecond the observed prefill speed
     * @param tokenGapMillis the observed time between tokens at the present load, in milliseconds
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
     * @param freePlaces places free now over all of them
     * @param waitMillisByRank the shortest expected wait by tier rank, in milliseconds
     * @param best the servers with the shortest wait, the best first; a few at most
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
