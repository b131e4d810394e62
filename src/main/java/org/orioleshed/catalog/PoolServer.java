package org.orioleshed.catalog;

import java.net.InetSocketAddress;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.ServiceId;
import org.orioleshed.model.VersionId;

/**
 * One start of a backend server, as it registers itself.
 *
 * @param id its id
 * @param service the pool that it belongs to
 * @param address where it takes calls
 * @param domain its failure domain
 * @param version the version of its software
 * @param slots the calls that it runs at once; positive
 * @param draining whether it is about to leave
 * @param startMillis the wall-clock time of its start, in Unix milliseconds; 0 where it states none
 */
public record PoolServer(
        ServerId id,
        ServiceId service,
        InetSocketAddress address,
        FailureDomain domain,
        VersionId version,
        int slots,
        boolean draining,
        long startMillis) {
    /** Returns whether {@code other} is the same start of the same server. */
    public boolean sameStart(PoolServer other) {
        return id.equals(other.id) && startMillis == other.startMillis;
    }
}
