package org.orioleshed.gateway;

import java.net.InetSocketAddress;
import java.util.List;
import org.orioleshed.dispatch.Quotas;
import org.orioleshed.dispatch.RolloutPolicy;
import org.orioleshed.model.FailureDomain;

/**
 * What a gateway is told at its start.
 *
 * @param domain the host's failure domain
 * @param callers where it listens for callers
 * @param ready where it says whether it takes new connections
 * @param metrics where it serves metrics
 * @param peer where it listens for other hosts
 * @param seeds other hosts' peer addresses, some of which may be stale
 * @param leastHosts how many hosts there are at least, this one included; positive
 * @param retryRatio second sends for each first send, over all hosts
 * @param retryWindowMillis the window in which they count, in milliseconds
 * @param retrySlack second sends allowed beside that, over all hosts
 * @param quotaSlack what workspaces may use beyond their quotas
 * @param rolloutPolicy what a bad version may cost
 * @param graceMillis the time from the word to stop to the end of the process, in milliseconds
 */
public record GatewayOptions(
        FailureDomain domain,
        InetSocketAddress callers,
        InetSocketAddress ready,
        InetSocketAddress metrics,
        InetSocketAddress peer,
        List<InetSocketAddress> seeds,
        int leastHosts,
        double retryRatio,
        long retryWindowMillis,
        double retrySlack,
        Quotas.Slack quotaSlack,
        RolloutPolicy rolloutPolicy,
        long graceMillis) {
    /** Copies the list. */
    public GatewayOptions {
        seeds = List.copyOf(seeds);
        if (retryWindowMillis <= 0 || graceMillis <= 0) {
            throw new IllegalArgumentException("window and grace must be positive");
        }
    }
}
