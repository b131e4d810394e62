package org.orioleshed.fleet;

import org.orioleshed.model.VersionId;

/**
 * How a target's traffic divides over two versions while a rollout is under way.
 *
 * @param from the version that traffic leaves
 * @param to the version that traffic goes to
 * @param toShare the share of requests for {@code to}, from 0 to 1; 0 once a breaker has tripped
 */
public record VersionSplit(VersionId from, VersionId to, double toShare) {
    /**
     * Returns the version for one request.
     *
     * @param draw a number drawn evenly from 0 (inclusive) to 1 (exclusive)
     */
    public VersionId choose(double draw) {
        return draw < toShare ? to : from;
    }
}
