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
 * Creates the state machines of an entry host, for programs that supply their own sockets, store
 * and clock.
 *
 * <pre>{@code
 * StateMachine<HostEvent, HostAction> host = Orioleshed.host("suva-a-1", "suva-a", incarnation);
 * host.on(nowNanos, new HostEvent.FleetChanged(fleet));
 * List<HostAction> actions = host.on(nowNanos, new HostEvent.RequestArrived(request));
 * }</pre>
 */
public final class Orioleshed {
    private Orioleshed() {}

    /**
     * Returns the state machine of one entry host, with the default limits. Not thread-safe.
     *
     * @param id the host's id, not blank
     * @param domain its failure domain, not blank
     * @param incarnation the host's incarnation, which increases with each start; also seeds its
     *     random choices
     * @throws IllegalArgumentException if an id is blank or longer than 200 characters
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
     * Returns the baseline state machine for comparisons: round robin without claims or preemption.
     */
    public static StateMachine<HostEvent, HostAction> naiveHost() {
        return new NaiveHost();
    }
}
