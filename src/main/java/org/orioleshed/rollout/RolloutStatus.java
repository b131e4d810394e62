package org.orioleshed.rollout;

import java.util.Optional;

/**
 * What one host knows of a rollout, for operators.
 *
 * @param record the newest record
 * @param revision its modification revision
 * @param share the new version's share of requests on this host now, from 0 to 1
 * @param breaker why this host's breaker tripped; empty while it holds
 * @param coordinatorFence this host's fencing number while it is the coordinator; zero otherwise
 * @param newRuns runs of the new version counted by all reachable hosts
 * @param alarm the strongest evidence against the new version, as the logarithm of the odds
 * @param proof the evidence for it on the route that has least, as the logarithm of the odds
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
