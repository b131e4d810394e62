package org.orioleshed.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.orioleshed.fleet.Rendezvous;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ServerId;

/** The rank of this host among those that share a server while no primary responds. */
final class HostRanks {
    private final Function<KnownHosts, List<HostId>> sharers;
    private final Map<ServerId, Integer> ranks = new HashMap<>();
    private KnownHosts hosts = KnownHosts.NONE;

    /**
     * Creates the ranks of a host that knows no hosts yet.
     *
     * @param sharers returns the hosts among which servers are shared
     */
    HostRanks(Function<KnownHosts, List<HostId>> sharers) {
        this.sharers = sharers;
    }

    /** Sets the known hosts. */
    void setHosts(KnownHosts newHosts) {
        if (!hosts.equals(newHosts)) {
            hosts = newHosts;
            ranks.clear();
        }
    }

    /** Returns the known hosts. */
    KnownHosts hosts() {
        return hosts;
    }

    /** Returns the rank of this host for a server, 0 first; the maximum if it shares nothing. */
    int of(ServerId server) {
        return ranks.computeIfAbsent(server, this::compute);
    }

    private int compute(ServerId server) {
        List<HostId> ranked = Rendezvous.ranked(sharers.apply(hosts), server.value());
        int rank = hosts.self().map(ranked::indexOf).orElse(-1);
        return rank < 0 ? Integer.MAX_VALUE : rank;
    }
}
