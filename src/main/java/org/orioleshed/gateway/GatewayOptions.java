package org.orioleshed.gateway;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.orioleshed.catalog.WatchTiming;
import org.orioleshed.dispatch.ColdBound;
import org.orioleshed.dispatch.PacingPolicy;
import org.orioleshed.dispatch.Quotas;
import org.orioleshed.dispatch.RolloutPolicy;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.Region;

/**
 * The settings of a gateway, fixed at its start.
 *
 * @param domain the host's failure domain
 * @param callers the listen address for callers
 * @param ready the listen address of the readiness endpoint
 * @param metrics the listen address of the metrics endpoint
 * @param peer the listen address for other hosts
 * @param relay the listen address for requests that other hosts forward; empty if this host neither
 *     forwards nor accepts any
 * @param seeds other hosts' peer addresses, some of which may be stale
 * @param minHosts the minimum number of hosts, including this one; positive
 * @param retryRatio retries per first attempt, over all hosts
 * @param retryWindowMillis the window of the retry budget, in milliseconds; positive
 * @param retrySlack retries per window allowed beyond the ratio, over all hosts
 * @param quotaSlack what workspaces may use beyond their quotas
 * @param rolloutPolicy the limits on the damage of a bad version
 * @param pacing whether servers that have just started or recovered are paced
 * @param graceMillis the time from the stop signal to the end of the process, in milliseconds;
 *     positive
 * @param cpuMillicores the processor time that the host may use, in thousandths of a core; 0 if
 *     unknown
 * @param regions the region of each failure domain; empty if none is stated
 * @param coldBound the bound on requests to cold servers
 * @param watchTiming how quickly changes in the store must be learned
 */
public record GatewayOptions(
        FailureDomain domain,
        InetSocketAddress callers,
        InetSocketAddress ready,
        InetSocketAddress metrics,
        InetSocketAddress peer,
        Optional<InetSocketAddress> relay,
        List<InetSocketAddress> seeds,
        int minHosts,
        double retryRatio,
        long retryWindowMillis,
        double retrySlack,
        Quotas.Slack quotaSlack,
        RolloutPolicy rolloutPolicy,
        PacingPolicy pacing,
        long graceMillis,
        int cpuMillicores,
        Map<FailureDomain, Region> regions,
        ColdBound coldBound,
        WatchTiming watchTiming) {
    /**
     * Copies the seeds and the regions.
     *
     * @throws IllegalArgumentException if the retry window or the grace period is not positive
     */
    public GatewayOptions {
        seeds = List.copyOf(seeds);
        regions = Map.copyOf(regions);
        if (retryWindowMillis <= 0 || graceMillis <= 0) {
            throw new IllegalArgumentException("window and grace must be positive");
        }
    }
}
