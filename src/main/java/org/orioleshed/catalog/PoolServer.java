package org.orioleshed.catalog;

import java.net.InetSocketAddress;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.ServiceId;
import org.orioleshed.model.VersionId;

/**
 * One start of a backend server, as registered in the store.
 *
 * @param id the id of the server
 * @param service the server's pool
 * @param address the address for calls
 * @param domain the failure domain
 * @param version the version of the server's software
 * @param slots the maximum number of concurrent calls; positive
 * @param draining whether the server is about to stop
 * @param startMillis the wall-clock start time, in Unix milliseconds; 0 if not stated
 * @param warmup what the entry states of the server's warm-up
 */
public record PoolServer(
        ServerId id,
        ServiceId service,
        InetSocketAddress address,
        FailureDomain domain,
        VersionId version,
        int slots,
        boolean draining,
        long startMillis,
        StatedWarmup warmup) {
    /** Makes a server whose entry states nothing of its warm-up. */
    public PoolServer(
            ServerId id,
            ServiceId service,
            InetSocketAddress address,
            FailureDomain domain,
            VersionId version,
            int slots,
            boolean draining,
            long startMillis) {
        this(
                id,
                service,
                address,
                domain,
                version,
                slots,
                draining,
                startMillis,
                StatedWarmup.NONE);
    }

    /** Returns this server with another statement of its warm-up. */
    public PoolServer withWarmup(StatedWarmup newWarmup) {
        return new PoolServer(
                id, service, address, domain, version, slots, draining, startMillis, newWarmup);
    }

    /** Returns whether {@code other} is the same start of the same server. */
    public boolean sameStart(PoolServer other) {
        return id.equals(other.id) && startMillis == other.startMillis;
    }
}
