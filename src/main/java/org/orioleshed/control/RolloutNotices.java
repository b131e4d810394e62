package org.orioleshed.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.orioleshed.rollout.RolloutAction;

/** The latest notices of rollouts, and those who wait for the next. */
final class RolloutNotices {
    private static final int KEPT = 500;
    private static final int MAX_WAITERS = 64;

    private record Waiter(
            long after, long deadlineNanos, CompletableFuture<List<RolloutNotice>> answer) {}

    private final ArrayDeque<RolloutNotice> kept = new ArrayDeque<>();
    private final List<Waiter> waiters = new ArrayList<>();
    private long last;

    void add(RolloutAction.Notice notice) {
        kept.addLast(
                new RolloutNotice(
                        ++last,
                        notice.rollout(),
                        notice.kind(),
                        notice.epochMillis(),
                        notice.detail()));
        if (kept.size() > KEPT) {
            kept.removeFirst();
        }
    }

    /** Answers with the notices after a sequence number, at the latest at the deadline. */
    void await(long after, long deadlineNanos, CompletableFuture<List<RolloutNotice>> answer) {
        if (waiters.size() >= MAX_WAITERS) {
            answer.complete(after(after));
            return;
        }
        waiters.add(new Waiter(after, deadlineNanos, answer));
    }

    void tick(long nowNanos) {
        Iterator<Waiter> each = waiters.iterator();
        while (each.hasNext()) {
            Waiter waiter = each.next();
            List<RolloutNotice> news = after(waiter.after());
            if (!news.isEmpty() || nowNanos >= waiter.deadlineNanos()) {
                each.remove();
                waiter.answer().complete(news);
            }
        }
    }

    private List<RolloutNotice> after(long sequence) {
        return kept.stream().filter(notice -> notice.sequence() > sequence).toList();
    }
}
