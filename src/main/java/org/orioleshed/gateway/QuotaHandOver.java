package org.orioleshed.gateway;

import java.util.Optional;
import org.orioleshed.dispatch.DispatchEvent;

/**
 * Decides whether the quota credit that a leaving primary handed over applies to this host: once,
 * and only if this host has just become the primary. The message may arrive before this host is the
 * primary, late, or twice.
 */
final class QuotaHandOver {
    /** All hosts receive the notice of a leaving primary within this time. */
    private static final long VALIDITY_NANOS = 1_000_000_000L;

    private Optional<DispatchEvent.QuotasHandedOver> received = Optional.empty();
    private long receivedNanos;
    private long primarySinceNanos;
    private boolean taken = true;

    /** Records that this host has become the primary. */
    void becamePrimary(long nowNanos) {
        primarySinceNanos = nowNanos;
        taken = false;
    }

    /** Takes the quota credit of a previous primary. */
    void received(DispatchEvent.QuotasHandedOver handed, long nowNanos) {
        received = Optional.of(handed);
        receivedNanos = nowNanos;
    }

    /**
     * Returns the quota credit that this host, as the primary, takes over; empty if none applies.
     */
    Optional<DispatchEvent.QuotasHandedOver> take(long nowNanos) {
        boolean valid =
                nowNanos - receivedNanos <= VALIDITY_NANOS
                        && nowNanos - primarySinceNanos <= VALIDITY_NANOS;
        if (taken || !valid || received.isEmpty()) {
            return Optional.empty();
        }
        taken = true;
        Optional<DispatchEvent.QuotasHandedOver> result = received;
        received = Optional.empty();
        return result;
    }
}
