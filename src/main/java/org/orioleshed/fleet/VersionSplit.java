package org.orioleshed.fleet;

import org.orioleshed.model.VersionId;

/**
 * The traffic split of a target between two versions while a rollout is in progress.
 *
 * @param from the old version
 * @param to the new version
 * @param toShare the share of requests for {@code to}, from 0 to 1; 0 once the circuit breaker has
 *     tripped
 */
public record VersionSplit(VersionId from, VersionId to, double toShare) {
    /**
     * Returns the version for one request.
     *
     * @param draw a number drawn uniformly from 0 (inclusive) to 1 (exclusive)
     */
    public VersionId choose(double draw) {
        return draw < toShare ? to : from;
    }
}
