package org.orioleshed.move;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.orioleshed.fleet.VersionSplit;
import org.orioleshed.fleet.World;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.VersionId;

/** Works out from all moves how traffic divides on one host. */
final class Division {
    private Division() {}

    /** Of open moves that share a route, one goes on: the one under way, else the first planned. */
    static void settleRaces(Collection<MoveRun> runs) {
        Comparator<MoveRun> order =
                Comparator.comparing((MoveRun run) -> run.record().state() != MoveState.RUNNING)
                        .thenComparing(run -> run.record().plannedMillis())
                        .thenComparing(run -> run.record().id());
        Set<RouteId> taken = new HashSet<>();
        List<MoveRun> open = runs.stream().filter(MoveRun::isOpen).sorted(order).toList();
        for (MoveRun run : open) {
            boolean free = run.record().routes().stream().noneMatch(taken::contains);
            run.setSuperseded(!free);
            if (free) {
                taken.addAll(run.record().routes());
            }
        }
    }

    /** Returns the division at this time, for a host in {@code domain}. */
    static MoveAction.SplitChanged of(
            Collection<MoveRun> runs,
            long nowNanos,
            long epochMillis,
            World world,
            FailureDomain domain) {
        Map<RouteId, VersionSplit> splits = new HashMap<>();
        Map<RouteId, VersionId> versions = new HashMap<>();
        Map<RouteId, Long> decidedAt = new HashMap<>();
        Set<ServerId> heldBack = new HashSet<>();
        for (MoveRun run : runs) {
            MoveRecord record = run.record();
            if (run.isOpen() && !run.isSuperseded()) {
                double share = run.share(nowNanos, epochMillis, world);
                VersionSplit split = new VersionSplit(record.from(), record.to(), share);
                record.routes().forEach(route -> splits.put(route, split));
                heldBack.addAll(run.heldBack(nowNanos, epochMillis, world, domain));
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
        return new MoveAction.SplitChanged(splits, versions, heldBack);
    }

    private static VersionId outcomeVersion(MoveRun run) {
        boolean onNew = run.record().state() == MoveState.COMPLETED && run.fuse().isEmpty();
        return onNew ? run.record().to() : run.record().from();
    }
}
