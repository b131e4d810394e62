package org.orioleshed.rollout;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.fleet.VersionSplit;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.VersionId;

/** Computes the traffic split of one host from all rollouts. */
final class TrafficSplits {
    private TrafficSplits() {}

    /**
     * Marks all but one of the open rollouts that share a route as superseded. A running rollout
     * has precedence, then the one planned first.
     */
    static void resolveConflicts(Collection<RolloutTracker> trackers) {
        Comparator<RolloutTracker> order =
                Comparator.comparing(
                                (RolloutTracker tracker) ->
                                        tracker.record().state() != RolloutState.RUNNING)
                        .thenComparing(tracker -> tracker.record().plannedMillis())
                        .thenComparing(tracker -> tracker.record().id());
        Set<RouteId> takenRoutes = new HashSet<>();
        List<RolloutTracker> open =
                trackers.stream().filter(RolloutTracker::isOpen).sorted(order).toList();
        for (RolloutTracker tracker : open) {
            boolean free = tracker.record().routes().stream().noneMatch(takenRoutes::contains);
            tracker.setSuperseded(!free);
            if (free) {
                takenRoutes.addAll(tracker.record().routes());
            }
        }
    }

    /** Returns the current traffic split for a host in {@code domain}. */
    static RolloutAction.SplitChanged of(
            Collection<RolloutTracker> trackers,
            long nowNanos,
            long epochMillis,
            FleetSnapshot fleet,
            FailureDomain domain) {
        Map<RouteId, VersionSplit> splits = new HashMap<>();
        Map<RouteId, VersionId> versions = new HashMap<>();
        Map<RouteId, Long> decidedRevisions = new HashMap<>();
        Set<ServerId> heldBack = new HashSet<>();
        for (RolloutTracker tracker : trackers) {
            RolloutRecord record = tracker.record();
            if (tracker.isOpen() && !tracker.isSuperseded()) {
                double share = tracker.share(nowNanos, epochMillis, fleet);
                VersionSplit split = new VersionSplit(record.from(), record.to(), share);
                record.routes().forEach(route -> splits.put(route, split));
                heldBack.addAll(tracker.heldBack(nowNanos, epochMillis, fleet, domain));
                continue;
            }
            if (tracker.isOpen()) {
                continue;
            }
            VersionId version = outcomeVersion(tracker);
            for (RouteId route : record.routes()) {
                if (tracker.revision() > decidedRevisions.getOrDefault(route, 0L)) {
                    decidedRevisions.put(route, tracker.revision());
                    versions.put(route, version);
                }
            }
        }
        return new RolloutAction.SplitChanged(splits, versions, heldBack);
    }

    private static VersionId outcomeVersion(RolloutTracker tracker) {
        boolean onNew =
                tracker.record().state() == RolloutState.COMPLETED && tracker.breaker().isEmpty();
        return onNew ? tracker.record().to() : tracker.record().from();
    }
}
