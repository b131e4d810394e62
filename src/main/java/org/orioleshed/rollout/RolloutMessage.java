package org.orioleshed.rollout;

import java.util.Map;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.Payload;
import org.orioleshed.model.RolloutId;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.VersionId;

/** Messages between entry hosts about rollouts. They may be lost, repeated and reordered. */
public sealed interface RolloutMessage {
    /**
     * The sender's own evidence about a rollout, accumulated since the sender's start.
     *
     * @param rollout the rollout
     * @param domain the sender's failure domain
     * @param incarnation the sender's incarnation
     * @param breakerTripped whether the sender's breaker has tripped
     * @param coordinatorFence the sender's fencing number while it is the coordinator; zero
     *     otherwise
     * @param tallies the counters, which only grow
     */
    record Evidence(
            RolloutId rollout,
            FailureDomain domain,
            long incarnation,
            boolean breakerTripped,
            long coordinatorFence,
            Map<Key, Tally> tallies)
            implements RolloutMessage {
        /** Copies the map. */
        public Evidence {
            tallies = Map.copyOf(tallies);
        }
    }

    /**
     * The newest record that the sender has.
     *
     * @param rollout the rollout
     * @param record the record as in the store
     * @param revision its modification revision
     */
    record RecordSeen(RolloutId rollout, Payload record, long revision) implements RolloutMessage {}

    /** The route, version and load band that a {@link Tally} counts. */
    record Key(RouteId route, VersionId version, LoadBand band) implements Comparable<Key> {
        @Override
        public int compareTo(Key other) {
            int byRoute = route.compareTo(other.route);
            if (byRoute != 0) {
                return byRoute;
            }
            int byVersion = version.compareTo(other.version);
            return byVersion != 0 ? byVersion : band.compareTo(other.band);
        }
    }
}
