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

/** Works out from all rollouts how traffic divides on one host. */
final class TrafficSplits {
    private TrafficSplits() {}

    /**
     * Of open rollouts that share a route, one goes on: the one under way, else the first planned.
     */
    static void settleRaces(Collection<RolloutRun> runs) {
        Comparator<RolloutRun> order =
                Comparator.comparing(
                                (RolloutRun run) -> run.record().state() != RolloutState.RUNNING)
                        .thenComparing(run -> run.record().plannedMillis())
                        .thenComparing(run -> run.record().id());
        Set<RouteId> taken = new HashSet<>();
        List<RolloutRun> open = runs.stream().filter(RolloutRun::isOpen).sorted(order).toList();
        for (RolloutRun run : open) {
            boolean free = run.record().routes().stream().noneMatch(taken::contains);
            run.setSuperseded(!free);
            if (free) {
                taken.addAll(run.record().routes());
            }
        }
    }

    /** Returns the division at this time, for a host in {@code domain}. */
    static RolloutAction.SplitChanged of(
            Collection<RolloutRun> runs,
            long nowNanos,
            long epochMillis,
            FleetSnapshot fleet,
            FailureDomain domain) {
        Map<RouteId, VersionSplit> splits = new HashMap<>();
        Map<RouteId, VersionId> versions = new HashMap<>();
        Map<RouteId, Long> decidedAt = new HashMap<>();
        Set<ServerId> heldBack = new HashSet<>();
        for (RolloutRun run : runs) {
            RolloutRecord record = run.record();
            if (run.isOpen() && !run.isSuperseded()) {
                double share = run.share(nowNanos, epochMillis, fleet);
                VersionSplit split = new VersionSplit(record.from(), record.to(), share);
                record.routes().forEach(route -> splits.put(route, split));
                heldBack.addAll(run.heldBack(nowNanos, epochMillis, fleet, domain));
                continue;
            }
            if (run.isOpen()) {
                continue;
            }
            VersionId version = outcomeVersion(run);
            for (RouteId route : record.routes()) {
                if (run.revision() > decidedAt.getOrDefault(route, 0L)) {
                    decidedAt.put(route, run.revision());
                    versions.put(route, version);
                }
            }
        }
        return new RolloutAction.SplitChanged(splits, versions, heldBack);
    }

    private static VersionId outcomeVersion(RolloutRun run) {
        boolean onNew = run.record().state() == RolloutState.COMPLETED && run.breaker().isEmpty();
        return onNew ? run.record().to() : run.record().from();
    }
}
