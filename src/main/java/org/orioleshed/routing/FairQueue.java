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
 * The waiting offers of one tier: weighted fair queueing between workspaces by expected work, and
 * an order of its own within each workspace.
 */
final class FairQueue {
    private final Comparator<Waiting> order;
    private final Map<WorkspaceId, Lane> lanes = new TreeMap<>();
    private double virtualMillis;
    private int size;
    private long workMillis;

    FairQueue(Comparator<Waiting> order) {
        this.order = order;
    }

    int size() {
        return size;
    }

    /** Returns the expected work of all that waits, in milliseconds. */
    long workMillis() {
        return workMillis;
    }

    void add(Waiting waiting, int weight) {
        Lane lane = lanes.computeIfAbsent(waiting.offer().workspace(), id -> new Lane(order));
        if (lane.offers.isEmpty()) {
            lane.virtualMillis = Math.max(lane.virtualMillis, virtualMillis);
        }
        lane.weight = weight;
        if (lane.offers.add(waiting)) {
            size++;
            workMillis += waiting.workMillis();
        }
    }

    boolean remove(Waiting waiting) {
        Lane lane = lanes.get(waiting.offer().workspace());
        if (lane == null || !lane.offers.remove(waiting)) {
            return false;
        }
        size--;
        workMillis -= waiting.workMillis();
        forget(waiting.offer().workspace(), lane);
        return true;
    }

    /** Returns the offer whose turn it is among the workspaces that {@code eligible} accepts. */
    Optional<Waiting> next(Predicate<WorkspaceId> eligible) {
        Lane best = null;
        for (Map.Entry<WorkspaceId, Lane> entry : lanes.entrySet()) {
            Lane lane = entry.getValue();
            if (!lane.offers.isEmpty()
                    && eligible.test(entry.getKey())
                    && (best == null || lane.goesBefore(best, order))) {
                best = lane;
            }
        }
        return Optional.ofNullable(best).map(lane -> lane.offers.first());
    }

    /** Returns the offer that comes first in the order, whatever its workspace. */
    Optional<Waiting> earliest() {
        return lanes.values().stream()
                .filter(lane -> !lane.offers.isEmpty())
                .map(lane -> lane.offers.first())
                .min(order);
    }

    /** Returns the offer that comes last in the order. */
    Optional<Waiting> latest() {
        return lanes.values().stream()
                .filter(lane -> !lane.offers.isEmpty())
                .map(lane -> lane.offers.last())
                .max(order);
    }

    /** Removes an offer that gets a place, and charges its workspace. */
    void take(Waiting waiting) {
        Lane lane = lanes.get(waiting.offer().workspace());
        if (lane == null || !lane.offers.contains(waiting)) {
            throw new IllegalArgumentException("not in the queue: " + waiting.run());
        }
        virtualMillis = Math.max(virtualMillis, lane.virtualMillis);
        lane.virtualMillis += charge(waiting, lane);
        remove(waiting);
    }

    /** Gives back what {@link #take} charged: the place was not used. */
    void refund(Waiting waiting) {
        Lane lane = lanes.get(waiting.offer().workspace());
        if (lane != null) {
            lane.virtualMillis -= charge(waiting, lane);
        }
    }

    void forEach(Consumer<Waiting> action) {
        lanes.values().forEach(lane -> lane.offers.forEach(action));
    }

    /** Returns the offers that {@code condition} holds for. */
    List<Waiting> matching(Predicate<Waiting> condition) {
        List<Waiting> found = new ArrayList<>();
        forEach(
                waiting -> {
                    if (condition.test(waiting)) {
                        found.add(waiting);
                    }
                });
        return found;
    }

    private static double charge(Waiting waiting, Lane lane) {
        return (double) Math.max(1, waiting.workMillis()) / lane.weight;
    }

    private void forget(WorkspaceId id, Lane lane) {
        if (lane.offers.isEmpty() && lane.virtualMillis <= virtualMillis) {
            lanes.remove(id);
        }
    }

    private static final class Lane {
        private final TreeSet<Waiting> offers;
        private double virtualMillis;
        private int weight = 1;

        Lane(Comparator<Waiting> order) {
            offers = new TreeSet<>(order);
        }

        boolean goesBefore(Lane other, Comparator<Waiting> order) {
            int byTurn = Double.compare(virtualMillis, other.virtualMillis);
            return byTurn < 0
                    || (byTurn == 0 && order.compare(offers.first(), other.offers.first()) < 0);
        }
    }
}
