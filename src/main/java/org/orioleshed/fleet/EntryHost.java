package org.orioleshed.fleet;

import java.net.InetSocketAddress;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;

/**
 * An entry host in its peers' membership view.
 *
 * @param id the host
 * @param domain its failure domain
 * @param incarnation the host's incarnation, which increases with each start
 * @param peerAddress the address on which it accepts peer connections
 * @param state its state in the membership view
 */
public record EntryHost(
        HostId id,
        FailureDomain domain,
        long incarnation,
        InetSocketAddress peerAddress,
        State state) {
    /** The state of a host, which determines whether it may get work. */
    public enum State {
        /** Answers heartbeats. */
        ALIVE,
        /** Missed heartbeats; remains the owner of its servers until it is declared dead. */
        SUSPECT,
        /** Finishes running work and accepts nothing new. */
        LEAVING,
        /** Declared dead. */
        DEAD
    }

    /** Returns whether the host may be the owner of backend servers. */
    public boolean takesWork() {
        return state == State.ALIVE || state == State.SUSPECT;
    }
}
