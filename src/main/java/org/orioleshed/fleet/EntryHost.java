package org.orioleshed.fleet;

import java.net.InetSocketAddress;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;

/**
 * An entry host as its peers see it.
 *
 * @param id the host
 * @param domain its failure domain
 * @param incarnation grows with each start of the host
 * @param peerAddress where it takes peer connections
 * @param state whether it may be given work
 */
public record EntryHost(
        HostId id,
        FailureDomain domain,
        long incarnation,
        InetSocketAddress peerAddress,
        State state) {
    /** Whether a host may be given work. */
    public enum State {
        /** Answers its heartbeats. */
        ALIVE,
        /** Missed heartbeats; stays the owner of its servers until it is declared dead. */
        SUSPECT,
        /** Finishes what runs and takes nothing new. */
        LEAVING,
        /** Declared dead. */
        DEAD
    }

    /** Returns whether the host may be the owner of backend servers. */
    public boolean takesWork() {
        return state == State.ALIVE || state == State.SUSPECT;
    }
}
