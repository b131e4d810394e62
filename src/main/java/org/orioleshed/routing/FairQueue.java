package org.orioleshed.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.orioleshed.model.WorkspaceId;

/**
 * The waiting offers of one tier: start-time fair queueing between workspaces, weighted and charged
 * by expected work, and a given order within each workspace.
 */
final class FairQueue {
    private final Comparator<WaitingOffer> order;
    private final Map<WorkspaceId, WorkspaceQueue> queues = new TreeMap<>();
    private double virtualTimeMillis;
    private int size;
    private long workMillis;

    FairQueue(Comparator<WaitingOffer> order) {
        this.order = order;
    }

    int size() {
        return size;
    }

    /** Returns the expected work of all waiting offers, in milliseconds. */
    long workMillis() {
        return workMillis;
    }

    void add(WaitingOffer waiting, int weight) {
        WorkspaceQueue queue =
                queues.computeIfAbsent(
                        waiting.offer().workspace(), id -> new WorkspaceQueue(order));
        if (queue.offers.isEmpty()) {
            queue.virtualTimeMillis = Math.max(queue.virtualTimeMillis, virtualTimeMillis);
        }
        queue.weight = weight;
        if (queue.offers.add(waiting)) {
            size++;
            workMillis += waiting.workMillis();
        }
    }

    boolean remove(WaitingOffer waiting) {
        WorkspaceQueue queue = queues.get(waiting.offer().workspace());
        if (queue == null || !queue.offers.remove(waiting)) {
            return false;
        }
        size--;
        workMillis -= waiting.workMillis();
        removeIfIdle(waiting.offer().workspace(), queue);
        return true;
    }

    /** Returns the next offer by fair share among the workspaces that {@code eligible} accepts. */
    Optional<WaitingOffer> next(Predicate<WorkspaceId> eligible) {
        WorkspaceQueue best = null;
        for (Map.Entry<WorkspaceId, WorkspaceQueue> entry : queues.entrySet()) {
            WorkspaceQueue queue = entry.getValue();
            if (!queue.offers.isEmpty()
                    && eligible.test(entry.getKey())
                    && (best == null || queue.precedes(best, order))) {
                best = queue;
            }
        }
        return Optional.ofNullable(best).map(queue -> queue.offers.first());
    }

    /** Returns the first offer in the order, over all workspaces. */
    Optional<WaitingOffer> earliest() {
        return queues.values().stream()
                .filter(queue -> !queue.offers.isEmpty())
                .map(queue -> queue.offers.first())
                .min(order);
    }

    /** Returns the last offer in the order, over all workspaces. */
    Optional<WaitingOffer> latest() {
        return queues.values().stream()
                .filter(queue -> !queue.offers.isEmpty())
                .map(queue -> queue.offers.last())
                .max(order);
    }

    /** Removes an offer that is granted a slot, and charges its workspace. */
    void take(WaitingOffer waiting) {
        WorkspaceQueue queue = queues.get(waiting.offer().workspace());
        if (queue == null || !queue.offers.contains(waiting)) {
            throw new IllegalArgumentException("offer is not in the queue: " + waiting.run());
        }
        virtualTimeMillis = Math.max(virtualTimeMillis, queue.virtualTimeMillis);
        queue.virtualTimeMillis += charge(waiting, queue);
        remove(waiting);
    }

    /** Refunds the charge of {@link #take} for a slot that was not used. */
    void refund(WaitingOffer waiting) {
        WorkspaceQueue queue = queues.get(waiting.offer().workspace());
        if (queue != null) {
            queue.virtualTimeMillis -= charge(waiting, queue);
        }
    }

    void forEach(Consumer<WaitingOffer> action) {
        queues.values().forEach(queue -> queue.offers.forEach(action));
    }

    /** Returns the offers that match {@code condition}. */
    List<WaitingOffer> matching(Predicate<WaitingOffer> condition) {
        List<WaitingOffer> found = new ArrayList<>();
        forEach(
                waiting -> {
                    if (condition.test(waiting)) {
                        found.add(waiting);
                    }
                });
        return found;
    }

    private static double charge(WaitingOffer waiting, WorkspaceQueue queue) {
        return (double) Math.max(1, waiting.workMillis()) / queue.weight;
    }

    private void removeIfIdle(WorkspaceId id, WorkspaceQueue queue) {
        if (queue.offers.isEmpty() && queue.virtualTimeMillis <= virtualTimeMillis) {
            queues.remove(id);
        }
    }

    private static final class WorkspaceQueue {
        private final TreeSet<WaitingOffer> offers;
        private double virtualTimeMillis;
        private int weight = 1;

        WorkspaceQueue(Comparator<WaitingOffer> order) {
            offers = new TreeSet<>(order);
        }

        boolean precedes(WorkspaceQueue other, Comparator<WaitingOffer> order) {
            int byVirtualTime = Double.compare(virtualTimeMillis, other.virtualTimeMillis);
            return byVirtualTime < 0
                    || (byVirtualTime == 0
                            && order.compare(offers.first(), other.offers.first()) < 0);
        }
    }
}
