package org.orioleshed.fleet;

import java.net.URI;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.VersionId;

/**
 * A backend server as defined in the settings.
 *
 * @param id the server
 * @param domain its failure domain
 * @param address its base address
 * @param target the model or service that it runs
 * @param version the version that it runs
 * @param generation the hardware generation, such as {@code g1}
 * @param slots the maximum number of concurrent requests (the setting {@code places})
 * @param cacheTokens the size of its prefix cache, in tokens; zero for a plain service
 * @param canResume whether it can resume a stream from a token offset
 * @param checksFencing whether it refuses orders with an outdated fencing number
 * @param leaving whether it is leaving, so that it gets no new work
 */
public record BackendServer(
        ServerId id,
        FailureDomain domain,
        URI address,
        Target target,
        VersionId version,
        String generation,
        int slots,
        long cacheTokens,
        boolean canResume,
        boolean checksFencing,
        boolean leaving) {
    /** Returns a copy of this server with {@code leaving} replaced. */
    public BackendServer withLeaving(boolean newLeaving) {
        return new BackendServer(
                id,
                domain,
                address,
                target,
                version,
                generation,
                slots,
                cacheTokens,
                canResume,
                checksFencing,
                newLeaving);
    }
}
