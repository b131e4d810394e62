package org.orioleshed.routing;

/** Which decisions place requests. */
public enum Policy {
    /** Tiers, fairness, deadlines, adaptive limits, prefix affinity and preemption. */
    ORIOLESHED,

    /**
     * The plain way, kept to measure against: servers in turn, first in first out, no preemption,
     * no limit but the server's places, no affinity.
     */
    NAIVE
}
