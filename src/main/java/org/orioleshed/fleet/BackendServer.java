package org.orioleshed.fleet;

import java.net.URI;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.VersionId;

/**
 * A backend server as the settings state it.
 *
 * @param id the server
 * @param domain its failure domain
 * @param address its base address
 * @param target the model or service that it runs
 * @param version the version that it runs
 * @param generation the hardware generation, such as {@code g1}
 * @param places the most requests that it may run at once
 * @param cacheTokens the size of its prefix cache, in tokens; zero for a plain service
 * @param canResume whether it resumes a stream from an offset
 * @param checksFencing whether it refuses an order that carries an old fencing number
 * @param leaving whether it must get no new work
 */
public record BackendServer(
        ServerId id,
        FailureDomain domain,
        URI address,
        Target target,
        VersionId version,
        String generation,
        int places,
        long cacheTokens,
        boolean canResume,
        boolean checksFencing,
        boolean leaving) {
    /** Returns this server with another mark of leaving. */
    public BackendServer withLeaving(boolean mark) {
        return new BackendServer(
                id,
                domain,
                address,
                target,
                version,
                generation,
                places,
                cacheTokens,
                canResume,
                checksFencing,
                mark);
    }
}
