package org.orioleshed.routing;

import java.util.List;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.model.HostId;
import org.orioleshed.routing.RoutingMessage.ServerLoad;

/**
 * An accepting host's view of one backend server: the latest reported load and the number of
 * requests sent since.
 */
final class ServerView {
    private static final int DEFAULT_PREFILL_TOKENS_PER_SECOND = 2_000;
    private static final int DEFAULT_TOKEN_GAP_MILLIS = 30;

    /** The wait added for each request sent beyond the free slots of the latest report. */
    private static final long WAIT_PER_EXCESS_REQUEST_MILLIS = 200;

    /** The wait that each request sent since the latest report adds for the next one. */
    private static final long COST_PER_SENT_REQUEST_MILLIS = 10;

    private final BackendServer server;
    private final HostId owner;
    private ServerLoad load;
    private int sentSinceReport;
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

    /** Copies the load and the avoidance state from the view in the previous fleet snapshot. */
    void copyStateFrom(ServerView earlier) {
        load = earlier.load;
        sentSinceReport = earlier.sentSinceReport;
        avoidedUntilNanos = earlier.avoidedUntilNanos;
        domainWaitMillis = earlier.domainWaitMillis;
    }

    void updateLoad(ServerLoad newLoad) {
        load = newLoad;
        sentSinceReport = 0;
    }

    /** Records the wait reported for a remote failure domain as a whole. */
    void updateDomainWait(long waitMillis) {
        domainWaitMillis = waitMillis;
        sentSinceReport = 0;
    }

    void recordSent() {
        sentSinceReport++;
    }

    void avoidUntil(long nanos) {
        avoidedUntilNanos = nanos;
    }

    boolean avoided(long nowNanos) {
        return avoidedUntilNanos != Long.MIN_VALUE && avoidedUntilNanos - nowNanos > 0;
    }

    /** Returns the expected wait of a request of tier rank {@code rank}, in milliseconds. */
    long waitMillis(int rank) {
        if (load == null) {
            return domainWaitMillis
                    + sentSinceReport * WAIT_PER_EXCESS_REQUEST_MILLIS / server.slots();
        }
        int freeSlots = Math.max(0, load.limit() - load.running());
        int excess = Math.max(0, sentSinceReport - freeSlots);
        return waitForRank(load.waitMillisByRank(), rank)
                + sentSinceReport * COST_PER_SENT_REQUEST_MILLIS
                + excess * WAIT_PER_EXCESS_REQUEST_MILLIS / Math.max(1, load.limit());
    }

    long prefillMillis(int tokens) {
        int tokensPerSecond = load == null ? 0 : load.prefillTokensPerSecond();
        return tokens
                * 1_000L
                / (tokensPerSecond > 0 ? tokensPerSecond : DEFAULT_PREFILL_TOKENS_PER_SECOND);
    }

    long tokenGapMillis() {
        int gapMillis = load == null ? 0 : load.tokenGapMillis();
        return gapMillis > 0 ? gapMillis : DEFAULT_TOKEN_GAP_MILLIS;
    }

    static long waitForRank(List<Long> waitMillisByRank, int rank) {
        if (waitMillisByRank.isEmpty()) {
            return 0;
        }
        return waitMillisByRank.get(Math.min(rank, waitMillisByRank.size() - 1));
    }
}
