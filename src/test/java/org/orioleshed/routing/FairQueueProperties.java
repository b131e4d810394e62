package org.orioleshed.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Tier;
import org.orioleshed.model.WorkspaceId;

/**
 * Properties of {@link FairQueue}: shares follow the weights, no offer starves, and each workspace
 * is served by deadline.
 */
class FairQueueProperties {
    private static final int WORKSPACES = 4;
    private static final int MAX_WORK_MILLIS = 1_000;

    @Property(seed = "21", tries = 200)
    boolean backloggedWorkspacesShareByWeight(
            @ForAll @Size(40) List<@IntRange(min = 1, max = MAX_WORK_MILLIS) Integer> works,
            @ForAll @IntRange(min = 0, max = 30) int takesBeforeLastWorkspace,
            @ForAll @IntRange(min = 1, max = 39) int takes) {
        FairQueue queue = new FairQueue(WaitingOffer.BY_DEADLINE);
        for (int weight = 1; weight < WORKSPACES; weight++) {
            fill(queue, works, weight);
            fill(queue, works, weight);
        }
        for (int i = 0; i < takesBeforeLastWorkspace; i++) {
            queue.take(queue.next(OfferQueue::anyWorkspace).orElseThrow());
        }
        fill(queue, works, WORKSPACES);
        Map<WorkspaceId, Double> share = new HashMap<>();
        for (int i = 0; i < takes; i++) {
            WaitingOffer next = queue.next(OfferQueue::anyWorkspace).orElseThrow();
            queue.take(next);
            double weight = weightOf(next);
            share.merge(next.offer().workspace(), next.workMillis() / weight, Double::sum);
        }
        double most = share.values().stream().mapToDouble(d -> d).max().orElse(0);
        double least = share.size() < WORKSPACES ? 0 : least(share);
        // Start-time fair queueing: the weighted work of two backlogged flows differs by at most
        // one job of each.
        return most - least <= 2.0 * MAX_WORK_MILLIS;
    }

    private static void fill(FairQueue queue, List<Integer> works, int weight) {
        for (int work : works) {
            queue.add(waiting(queue.size() + 1_000L * weight, weight, 0, work), weight);
        }
    }

    @Property(seed = "22", tries = 200)
    boolean noOfferStarvesWhileLaterOnesArrive(
            @ForAll @Size(300) List<@IntRange(min = 0, max = 15) Integer> arrivals) {
        FairQueue queue = new FairQueue(WaitingOffer.BY_DEADLINE);
        WaitingOffer first = waiting(1, 1, 0, MAX_WORK_MILLIS);
        queue.add(first, 1);
        long sequence = 1;
        int takes = 0;
        for (int arrival : arrivals) {
            int weight = 1 + arrival % WORKSPACES;
            sequence++;
            queue.add(waiting(sequence, weight, sequence, MAX_WORK_MILLIS), weight);
            WaitingOffer next = queue.next(OfferQueue::anyWorkspace).orElseThrow();
            queue.take(next);
            takes++;
            if (next.equals(first)) {
                break;
            }
        }
        // With equal jobs, the other flows are served at most the sum of their weights before a
        // flow of weight one.
        return takes <= 1 + 2 + 3 + 4 + WORKSPACES;
    }

    @Property(seed = "23", tries = 200)
    boolean offersOfAWorkspaceAreOrderedByDeadline(
            @ForAll @Size(30) List<@IntRange(min = 0, max = 50) Integer> deadlines) {
        FairQueue queue = new FairQueue(WaitingOffer.BY_DEADLINE);
        long sequence = 0;
        for (int deadline : deadlines) {
            queue.add(waiting(++sequence, 1, deadline, 10), 1);
        }
        List<Long> taken = new ArrayList<>();
        while (queue.size() > 0) {
            WaitingOffer next = queue.next(OfferQueue::anyWorkspace).orElseThrow();
            queue.take(next);
            taken.add(next.deadlineNanos());
        }
        return taken.equals(taken.stream().sorted().toList()) && queue.workMillis() == 0;
    }

    private static double least(Map<WorkspaceId, Double> share) {
        return share.values().stream().mapToDouble(d -> d).min().orElse(0);
    }

    private static double weightOf(WaitingOffer waiting) {
        String name = waiting.offer().workspace().value();
        return Integer.parseInt(name.substring(name.indexOf('-') + 1));
    }

    private static WaitingOffer waiting(
            long sequence, int weight, long deadlineNanos, long workMillis) {
        return new WaitingOffer(
                FleetSnapshots.run(sequence),
                new HostId("h"),
                FleetSnapshots.offer(Tier.STANDARD, 1_000, weight, 0),
                deadlineNanos,
                0,
                0,
                0,
                workMillis,
                workMillis);
    }
}
