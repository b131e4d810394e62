package org.orioleshed.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The queued requests of a pool, ordered by rank, then by whether they can still meet their target,
 * then by target. The size of the work of each rank is kept up to date, so that no arrival needs a
 * scan of the queue.
 */
final class RequestQueue {
    private final TreeSet<QueuedRequest> onTime = new TreeSet<>(QueuedRequest.URGENCY);
    private final TreeSet<QueuedRequest> late = new TreeSet<>(QueuedRequest.URGENCY);
    private final Map<RunKey, QueuedRequest> queuedByRun = new HashMap<>();
    private final TreeMap<Integer, Work> workByRank = new TreeMap<>();
    private int restrictedCount;

    /**
     * The size of queued work.
     *
     * @param plainCalls the number of calls of plain services
     * @param modelCalls the number of model requests
     * @param promptTokens the number of their prompt tokens
     * @param outputTokens the number of their output tokens
     */
    record Work(int plainCalls, int modelCalls, long promptTokens, long outputTokens) {
        static final Work NONE = new Work(0, 0, 0, 0);

        private static Work of(PlacementRequest request) {
            return request.promptTokens() == 0
                    ? new Work(1, 0, 0, 0)
                    : new Work(0, 1, request.promptTokens(), request.outputTokens());
        }

        private Work plus(Work other, int sign) {
            return new Work(
                    plainCalls + sign * other.plainCalls,
                    modelCalls + sign * other.modelCalls,
                    promptTokens + sign * other.promptTokens,
                    outputTokens + sign * other.outputTokens);
        }

        boolean isEmpty() {
            return plainCalls == 0 && modelCalls == 0;
        }
    }

    /** A position in the queue, which stays valid when requests are removed. */
    final class Cursor {
        private QueuedRequest lastOnTime;
        private QueuedRequest lastLate;

        /** Returns the next request in the order in which they are to be served, or null. */
        QueuedRequest next() {
            QueuedRequest nextOnTime = after(onTime, lastOnTime);
            QueuedRequest nextLate = after(late, lastLate);
            boolean takeOnTime =
                    nextLate == null
                            || (nextOnTime != null
                                    && nextOnTime.request().rank() <= nextLate.request().rank());
            if (takeOnTime) {
                lastOnTime = nextOnTime == null ? lastOnTime : nextOnTime;
                return nextOnTime;
            }
            lastLate = nextLate;
            return nextLate;
        }

        private static QueuedRequest after(NavigableSet<QueuedRequest> set, QueuedRequest last) {
            if (last != null) {
                return set.higher(last);
            }
            return set.isEmpty() ? null : set.first();
        }
    }

    int size() {
        return queuedByRun.size();
    }

    boolean contains(RunKey run) {
        return queuedByRun.containsKey(run);
    }

    Collection<QueuedRequest> all() {
        return queuedByRun.values();
    }

    /** Returns a position before the first request. */
    Cursor cursor() {
        return new Cursor();
    }

    void add(QueuedRequest queued) {
        queuedByRun.put(queued.run(), queued);
        onTime.add(queued);
        restrictedCount += isRestricted(queued.request()) ? 1 : 0;
        Work added = Work.of(queued.request());
        workByRank.merge(queued.request().rank(), added, (work, more) -> work.plus(more, 1));
    }

    /** Removes a queued request; empty if it is not queued. */
    Optional<QueuedRequest> remove(RunKey run) {
        QueuedRequest queued = queuedByRun.remove(run);
        if (queued == null) {
            return Optional.empty();
        }
        onTime.remove(queued);
        late.remove(queued);
        restrictedCount -= isRestricted(queued.request()) ? 1 : 0;
        workByRank.computeIfPresent(
                queued.request().rank(),
                (rank, work) -> {
                    Work left = work.plus(Work.of(queued.request()), -1);
                    return left.isEmpty() ? null : left;
                });
        return Optional.of(queued);
    }

    private static boolean isRestricted(PlacementRequest request) {
        return request.allowedDomains().isPresent();
    }

    /**
     * Returns whether {@code request} may not compete with all queued requests, since it or one of
     * them is restricted to some failure domains.
     */
    boolean restricts(PlacementRequest request) {
        return restrictedCount > 0 || isRestricted(request);
    }

    /** Moves requests that missed their target behind the other requests of their rank. */
    void moveLate(long nowNanos) {
        Iterator<QueuedRequest> all = onTime.iterator();
        List<QueuedRequest> missed = new ArrayList<>();
        while (all.hasNext()) {
            QueuedRequest queued = all.next();
            if (queued.targetNanos() < nowNanos) {
                all.remove();
                missed.add(queued);
            }
        }
        late.addAll(missed);
    }

    /** Returns whether a request of {@code rank} or a more urgent one is queued. */
    boolean hasRankUpTo(int rank) {
        return !workByRank.isEmpty() && workByRank.firstKey() <= rank;
    }

    /** Returns the work of {@code rank} and of more urgent ones. */
    Work workUpTo(int rank) {
        Work sum = Work.NONE;
        for (Work work : workByRank.headMap(rank, true).values()) {
            sum = sum.plus(work, 1);
        }
        return sum;
    }
}
