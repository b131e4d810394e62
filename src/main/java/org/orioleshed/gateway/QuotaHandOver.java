package org.orioleshed.gateway;

import java.util.Optional;
import org.orioleshed.dispatch.DispatchEvent;

/**
 * Decides whether what a primary that leaves has left of quotas counts for this host: once, and
 * only while it has just become the primary. The word may come before this host knows that it is
 * the primary, late, or twice.
 */
final class QuotaHandOver {
    /** All hosts hear of a primary that leaves within this time. */
    private static final long FRESH_NANOS = 1_000_000_000L;

    private Optional<DispatchEvent.QuotasHanded> handed = Optional.empty();
    private long handedNanos;
    private long begunNanos;
    private boolean taken = true;

    /** This host has become the primary. */
    void begin(long nowNanos) {
        begunNanos = nowNanos;
        taken = false;
    }

    /** A primary before this one has handed over. */
    void received(DispatchEvent.QuotasHanded newHanded, long nowNanos) {
        handed = Optional.of(newHanded);
        handedNanos = nowNanos;
    }

    /** Returns what this host, which is the primary, goes on with; empty where nothing counts. */
    Optional<DispatchEvent.QuotasHanded> take(long nowNanos) {
        boolean fresh =
                nowNanos - handedNanos <= FRESH_NANOS && nowNanos - begunNanos <= FRESH_NANOS;
        if (taken || !fresh || handed.isEmpty()) {
            return Optional.empty();
        }
        taken = true;
        Optional<DispatchEvent.QuotasHanded> result = handed;
        handed = Optional.empty();
        return result;
    }
}
