package org.orioleshed.move;

import java.util.Map;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.MoveId;
import org.orioleshed.model.Payload;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.VersionId;

/** What entry hosts say to each other about moves. All may be lost, repeated and reordered. */
public sealed interface MoveMessage {
    /**
     * The sender's own evidence about a move, all of it since the sender's start.
     *
     * @param move the move
     * @param domain the sender's failure domain
     * @param incarnation the sender's incarnation
     * @param fuseBlown whether the sender's fuse has blown
     * @param moverFence the sender's fencing number while it is the mover; zero otherwise
     * @param tallies the counters, which only grow
     */
    record Evidence(
            MoveId move,
            FailureDomain domain,
            long incarnation,
            boolean fuseBlown,
            long moverFence,
            Map<Key, Tally> tallies)
            implements MoveMessage {
        /** Copies the map. */
        public Evidence {
            tallies = Map.copyOf(tallies);
        }
    }

    /**
     * The newest record that the sender knows.
     *
     * @param move the move
     * @param record the record as in the store
     * @param revision its modification revision
     */
    record RecordSeen(MoveId move, Payload record, long revision) implements MoveMessage {}

    /** What a {@link Tally} counts. */
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
