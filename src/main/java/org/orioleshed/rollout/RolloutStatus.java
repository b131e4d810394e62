package org.orioleshed.rollout;

import java.util.Optional;

/**
 * Status of a rollout on one host, for operators.
 *
 * @param record the newest record
 * @param revision its modification revision
 * @param share the new version's current share of requests on this host, from 0 to 1
 * @param breaker why this host's breaker tripped; empty while it has not tripped
 * @param coordinatorFence this host's fencing number while it is the coordinator; zero otherwise
 * @param newRuns runs of the new version counted by all reachable hosts
 * @param alarm the strongest evidence against the new version, as the logarithm of the odds
 * @param proof the evidence for the new version on the route that has the least, as the logarithm
 *     of the odds
 */
public record RolloutStatus(
        RolloutRecord record,
        long revision,
        double share,
        Optional<String> breaker,
        long coordinatorFence,
        long newRuns,
        double alarm,
        double proof) {}
