package org.orioleshed.dispatch;

import java.util.List;
import java.util.Optional;
import org.orioleshed.model.HostId;

/**
 * The hosts among which a server in a special state is shared while no primary responds.
 *
 * @param self the host of the scheduler; empty if it shares nothing
 * @param live the hosts that are alive, including this one
 * @param possible the hosts that may be running, including dead ones for a while
 * @param assumed the assumed number of hosts, at least the number of possible ones
 */
public record KnownHosts(
        Optional<HostId> self, List<HostId> live, List<HostId> possible, int assumed) {
    /** No host is known; nothing may be shared. */
    public static final KnownHosts NONE = new KnownHosts(Optional.empty(), List.of(), List.of(), 0);

    /** Copies the lists. */
    public KnownHosts {
        live = List.copyOf(live);
        possible = List.copyOf(possible);
    }
}
