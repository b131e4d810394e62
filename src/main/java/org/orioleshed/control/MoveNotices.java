package org.orioleshed.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.orioleshed.move.MoveAction;

/** The latest notices of moves, and those who wait for the next. */
final class MoveNotices {
    private static final int KEPT = 500;
    private static final int MAX_WAITERS = 64;

    private record Waiter(
            long after, long deadlineNanos, CompletableFuture<List<MoveNotice>> answer) {}

    private final ArrayDeque<MoveNotice> kept = new ArrayDeque<>();
    private final List<Waiter> waiters = new ArrayList<>();
    private long last;

    void add(MoveAction.Notice notice) {
        kept.addLast(
                new MoveNotice(
                        ++last,
                        notice.move(),
                        notice.kind(),
                        notice.epochMillis(),
                        notice.detail()));
        if (kept.size() > KEPT) {
            kept.removeFirst();
        }
    }

    /** Answers with the notices after a sequence number, at the latest at the deadline. */
    void await(long after, long deadlineNanos, CompletableFuture<List<MoveNotice>> answer) {
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
            List<MoveNotice> news = after(waiter.after());
            if (!news.isEmpty() || nowNanos >= waiter.deadlineNanos()) {
                each.remove();
                waiter.answer().complete(news);
            }
        }
    }

    private List<MoveNotice> after(long sequence) {
        return kept.stream().filter(notice -> notice.sequence() > sequence).toList();
    }
}
