package org.orioleshed;

import java.util.SplittableRandom;
import org.orioleshed.host.HostAction;
import org.orioleshed.host.HostCore;
import org.orioleshed.host.HostEvent;
import org.orioleshed.host.HostLimits;
import org.orioleshed.host.NaiveHost;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.model.StateMachine;

/**
 * The decisions of an entry host, for anyone who brings sockets, store and clock of their own.
 *
 * <pre>{@code
 * Machine<HostEvent, HostAction> host = Orioleshed.host("suva-a-1", "suva-a", incarnation);
 * host.on(nowNanos, new HostEvent.FleetChanged(fleet));
 * List<HostAction> todo = host.on(nowNanos, new HostEvent.RequestArrived(request));
 * }</pre>
 */
public final class Orioleshed {
    private Orioleshed() {}

    /**
     * Returns the decisions of one entry host, with the default limits. Not safe for use by several
     * threads.
     *
     * @param id the host's id, not blank
     * @param domain its failure domain, not blank
     * @param incarnation grows with each start of the host; also seeds its random choices
     */
    public static StateMachine<HostEvent, HostAction> host(
            String id, String domain, long incarnation) {
        return new HostCore(
                new HostId(id),
                new FailureDomain(domain),
                incarnation,
                HostLimits.DEFAULTS,
                new SplittableRandom(incarnation));
    }

    /**
     * Returns the naive decisions that the others are compared with: round robin, no claims, no
     * preemption.
     */
    public static StateMachine<HostEvent, HostAction> naiveHost() {
        return new NaiveHost();
    }
}
