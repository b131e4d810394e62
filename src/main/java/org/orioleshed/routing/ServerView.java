package org.orioleshed.routing;

import java.util.List;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.model.HostId;
import org.orioleshed.routing.RoutingMessage.ServerLoad;

/** What an accepting host knows of one backend server: its latest load and what it sent since. */
final class ServerView {
    private static final int DEFAULT_PREFILL_TOKENS_PER_SECOND = 2_000;
    private static final int DEFAULT_TOKEN_GAP_MILLIS = 30;

    /** The wait added for each request sent beyond the free places of the latest report. */
    private static final long WAIT_PER_EXCESS_REQUEST_MILLIS = 200;

    /** What each request sent since the latest report costs the next one there. */
    private static final long COST_PER_SENT_REQUEST_MILLIS = 10;

    private final BackendServer server;
    private final HostId owner;
    private ServerLoad load;
    private int sentSinceLoad;
    private long avoidedUntilNanos = Long.MIN_VALUE;
    private long domainWaitMillis;

    ServerView(BackendServer server, HostId owner) {
        this.server = server;
        this.owner = owner;
    }

    BackendServer server() {
        return server;
    }

    HostId owner() {
        return owner;
    }

    /** Takes over what {@code earlier} knew, after a change of the fleet. */
    void copyStateFrom(ServerView earlier) {
        load = earlier.load;
        sentSinceLoad = earlier.sentSinceLoad;
        avoidedUntilNanos = earlier.avoidedUntilNanos;
        domainWaitMillis = earlier.domainWaitMillis;
    }

    void reported(ServerLoad newLoad) {
        load = newLoad;
        sentSinceLoad = 0;
    }

    /** Notes the wait that is told for the whole of a distant failure domain. */
    void reportedDomainWait(long waitMillis) {
        domainWaitMillis = waitMillis;
        sentSinceLoad = 0;
    }

    void sent() {
        sentSinceLoad++;
    }

    void avoidUntil(long nanos) {
        avoidedUntilNanos = nanos;
    }

    boolean avoided(long nowNanos) {
        return avoidedUntilNanos != Long.MIN_VALUE && avoidedUntilNanos - nowNanos > 0;
    }

    /** Returns the expected wait for a place of a request of rank {@code rank}. */
    long waitMillis(int rank) {
        if (load == null) {
            return domainWaitMillis
                    + sentSinceLoad * WAIT_PER_EXCESS_REQUEST_MILLIS / server.places();
        }
        int free = Math.max(0, load.limit() - load.running());
        int beyond = Math.max(0, sentSinceLoad - free);
        return forRank(load.waitMillisByRank(), rank)
                + sentSinceLoad * COST_PER_SENT_REQUEST_MILLIS
                + beyond * WAIT_PER_EXCESS_REQUEST_MILLIS / Math.max(1, load.limit());
    }

    long prefillMillis(int tokens) {
        int speed = load == null ? 0 : load.prefillTokensPerSecond();
        return tokens * 1_000L / (speed > 0 ? speed : DEFAULT_PREFILL_TOKENS_PER_SECOND);
    }

    long tokenGapMillis() {
        int gap = load == null ? 0 : load.tokenGapMillis();
        return gap > 0 ? gap : DEFAULT_TOKEN_GAP_MILLIS;
    }

    static long forRank(List<Long> waitMillisByRank, int rank) {
        if (waitMillisByRank.isEmpty()) {
            return 0;
        }
        return waitMillisByRank.get(Math.min(rank, waitMillisByRank.size() - 1));
    }
}
