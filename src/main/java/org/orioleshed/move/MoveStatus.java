package org.orioleshed.move;

import java.util.Optional;

/**
 * What one host knows of a move, for operators.
 *
 * @param record the newest record
 * @param revision its modification revision
 * @param share the new version's share of requests on this host now, from 0 to 1
 * @param fuse why this host's fuse blew; empty while it holds
 * @param moverFence this host's fencing number while it is the mover; zero otherwise
 * @param newRuns runs of the new version counted by all reachable hosts
 * @param alarm the strongest evidence against the new version, as the logarithm of the odds
 * @param proof the evidence for it on the route that has least, as the logarithm of the odds
 */
public record MoveStatus(
        MoveRecord record,
        long revision,
        double share,
        Optional<String> fuse,
        long moverFence,
        long newRuns,
        double alarm,
        double proof) {}
