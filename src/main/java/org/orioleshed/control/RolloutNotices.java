package org.orioleshed.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.orioleshed.rollout.RolloutAction;

/** The latest rollout notices, and the pending requests for new ones. */
final class RolloutNotices {
    private static final int MAX_NOTICES = 500;
    private static final int MAX_WAITERS = 64;

    private record Waiter(
            long after, long deadlineNanos, CompletableFuture<List<RolloutNotice>> answer) {}

    private final ArrayDeque<RolloutNotice> notices = new ArrayDeque<>();
    private final List<Waiter> waiters = new ArrayList<>();
    private long lastSequence;

    void add(RolloutAction.Notice notice) {
        notices.addLast(
                new RolloutNotice(
                        ++lastSequence,
                        notice.rollout(),
                        notice.kind(),
                        notice.epochMillis(),
                        notice.detail()));
        if (notices.size() > MAX_NOTICES) {
            notices.removeFirst();
        }
    }

    /**
     * Completes {@code answer} with the notices after a sequence number once there are any, and at
     * the deadline at the latest.
     */
    void await(long after, long deadlineNanos, CompletableFuture<List<RolloutNotice>> answer) {
        if (waiters.size() >= MAX_WAITERS) {
            answer.complete(noticesAfter(after));
            return;
        }
        waiters.add(new Waiter(after, deadlineNanos, answer));
    }

    void tick(long nowNanos) {
        Iterator<Waiter> each = waiters.iterator();
        while (each.hasNext()) {
            Waiter waiter = each.next();
            List<RolloutNotice> newNotices = noticesAfter(waiter.after());
            if (!newNotices.isEmpty() || nowNanos >= waiter.deadlineNanos()) {
                each.remove();
                waiter.answer().complete(newNotices);
            }
        }
    }

    private List<RolloutNotice> noticesAfter(long sequence) {
        return notices.stream().filter(notice -> notice.sequence() > sequence).toList();
    }
}
