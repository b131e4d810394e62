package org.orioleshed.routing;

/** The policy by which requests are placed. */
public enum Policy {
    /** Tiers, fairness, deadlines, adaptive limits, prefix affinity and preemption. */
    ORIOLESHED,

    /**
     * The baseline for comparisons: round-robin over servers, first in, first out, no preemption,
     * no limit but the server's slots, no prefix affinity.
     */
    NAIVE
}
