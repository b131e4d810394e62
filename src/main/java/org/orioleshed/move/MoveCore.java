package org.orioleshed.move;

import java.util.List;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Machine;

/**
 * The part that one entry host takes in all moves: it gathers evidence, holds a fuse, takes its
 * turn as mover, and says how traffic divides.
 */
public final class MoveCore implements Machine<MoveEvent, MoveAction> {
    private final HostId self;
    private final FailureDomain domain;
    private final long incarnation;
    private final MoveLimits limits;

    /**
     * Makes the machine of one start of a host.
     *
     * @param self the host
     * @param domain its failure domain
     * @param incarnation grows with each start of the host
     * @param limits the numbers to go by
     */
    public MoveCore(HostId self, FailureDomain domain, long incarnation, MoveLimits limits) {
        if (self == null || domain == null || limits == null) {
            throw new IllegalArgumentException("host, domain and limits must be given");
        }
        this.self = self;
        this.domain = domain;
        this.incarnation = incarnation;
        this.limits = limits;
    }

    @Override
    public List<MoveAction> on(long nowNanos, MoveEvent event) {
        return List.of();
    }

    @Override
    public String toString() {
        return "MoveCore[" + self + " " + domain + " " + incarnation + " " + limits + "]";
    }
}
