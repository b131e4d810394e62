package org.orioleshed.gateway;

import java.net.InetSocketAddress;
import java.util.List;
import org.orioleshed.dispatch.ColdBound;
import org.orioleshed.dispatch.Quotas;
import org.orioleshed.dispatch.RolloutPolicy;
import org.orioleshed.model.FailureDomain;

/**
 * The settings of a gateway, fixed at its start.
 *
 * @param domain the host's failure domain
 * @param callers the listen address for callers
 * @param ready the listen address of the readiness endpoint
 * @param metrics the listen address of the metrics endpoint
 * @param peer the listen address for other hosts
 * @param seeds other hosts' peer addresses, some of which may be stale
 * @param minHosts the minimum number of hosts, including this one; positive
 * @param retryRatio retries per first attempt, over all hosts
 * @param retryWindowMillis the window of the retry budget, in milliseconds; positive
 * @param retrySlack retries per window allowed beyond the ratio, over all hosts
 * @param quotaSlack what workspaces may use beyond their quotas
 * @param rolloutPolicy the limits on the damage of a bad version
 * @param graceMillis the time from the stop signal to the end of the process, in milliseconds;
 *     positive
 * @param coldBound the bound on requests to cold servers
 */
public record GatewayOptions(
        FailureDomain domain,
        InetSocketAddress callers,
        InetSocketAddress ready,
        InetSocketAddress metrics,
        InetSocketAddress peer,
        List<InetSocketAddress> seeds,
        int minHosts,
        double retryRatio,
        long retryWindowMillis,
        double retrySlack,
        Quotas.Slack quotaSlack,
        RolloutPolicy rolloutPolicy,
        long graceMillis,
        ColdBound coldBound) {
    /**
     * Copies the seeds.
     *
     * @throws IllegalArgumentException if the retry window or the grace period is not positive
     */
    public GatewayOptions {
        seeds = List.copyOf(seeds);
        if (retryWindowMillis <= 0 || graceMillis <= 0) {
            throw new IllegalArgumentException("window and grace must be positive");
        }
    }

    /** Makes options without a bound of their own on requests to cold servers. */
    public GatewayOptions(
            FailureDomain domain,
            InetSocketAddress callers,
            InetSocketAddress ready,
            InetSocketAddress metrics,
            InetSocketAddress peer,
            List<InetSocketAddress> seeds,
            int minHosts,
            double retryRatio,
            long retryWindowMillis,
            double retrySlack,
            Quotas.Slack quotaSlack,
            RolloutPolicy rolloutPolicy,
            long graceMillis) {
        this(
                domain,
                callers,
                ready,
                metrics,
                peer,
                seeds,
                minHosts,
                retryRatio,
                retryWindowMillis,
                retrySlack,
                quotaSlack,
                rolloutPolicy,
                graceMillis,
                ColdBound.DEFAULT);
    }
}
