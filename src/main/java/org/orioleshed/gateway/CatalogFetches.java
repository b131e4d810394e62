package org.orioleshed.gateway;

import java.util.Optional;
import org.orioleshed.catalog.CatalogSnapshot;
import org.orioleshed.store.StoreRevision;

/**
 * Decides what to request from a peer that is ahead. A large configuration takes up to a second on
 * a slow link, while the servers' entries change many times a second: each change must not request
 * the configuration again while it is on its way.
 */
final class CatalogFetches {
    /** A peer that has not responded within this time is taken to have lost the first request. */
    private static final long FIRST_TIMEOUT_MILLIS = 250;

    /** Each repeated request doubles the timeout up to this one. */
    private static final long MAX_TIMEOUT_MILLIS = 1_000;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Pending operators = new Pending();
    private final Pending servers = new Pending();

    /** The last request for the entries of one kind. */
    private static final class Pending {
        private StoreRevision revision = StoreRevision.NONE;
        private long sentNanos;
        private long timeoutMillis;

        boolean covers(StoreRevision wanted, long nowNanos) {
            return !wanted.isAfter(revision) && isInFlight(nowNanos);
        }

        boolean isInFlight(long nowNanos) {
            return nowNanos - sentNanos < timeoutMillis * NANOS_PER_MILLI;
        }

        void sent(StoreRevision wanted, long nowNanos) {
            boolean repeated = !wanted.isAfter(revision) && timeoutMillis > 0;
            timeoutMillis =
                    repeated
                            ? Math.min(MAX_TIMEOUT_MILLIS, 2 * timeoutMillis)
                            : FIRST_TIMEOUT_MILLIS;
            revision = StoreRevision.max(revision, wanted);
            sentNanos = nowNanos;
        }

        void received() {
            timeoutMillis = 0;
        }
    }

    /**
     * Returns the request to send to a peer; empty if all that it is ahead of is requested already.
     *
     * @param peer the peer's revisions
     * @param own this host's snapshot
     */
    Optional<CatalogUpdate.FetchRequest> next(
            CatalogUpdate.Revisions peer, CatalogSnapshot own, long nowNanos) {
        boolean needsOperators =
                own.isBehind(peer.operators(), StoreRevision.NONE)
                        && !operators.covers(peer.operators(), nowNanos);
        boolean needsServers =
                own.isBehind(StoreRevision.NONE, peer.servers())
                        && !servers.covers(peer.servers(), nowNanos);
        if (!needsOperators && !needsServers) {
            return Optional.empty();
        }
        StoreRevision operatorsRevision = own.operators().revision();
        if (needsOperators) {
            operators.sent(peer.operators(), nowNanos);
        } else if (operators.isInFlight(nowNanos)) {
            operatorsRevision = StoreRevision.max(operatorsRevision, operators.revision);
        }
        if (needsServers) {
            servers.sent(peer.servers(), nowNanos);
        }
        return Optional.of(
                new CatalogUpdate.FetchRequest(operatorsRevision, own.entries().revision()));
    }

    /** Records the response to a request. */
    void received(CatalogUpdate.Content content) {
        content.operators().ifPresent(change -> operators.received());
        content.servers().ifPresent(change -> servers.received());
    }
}
