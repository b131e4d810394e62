package org.orioleshed.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.orioleshed.claim.ClaimHead.PageRef;
import org.orioleshed.host.HostEvent.StoreAnswer;

/**
 * Moves the claims of a full head to the newest page, or to a new one. The page is written first,
 * then the head without the claims. A failure between the two writes leaves the claims in both,
 * which is harmless.
 */
final class PageRotation {
    private final ClaimLimits limits;
    private final BucketCalls calls;
    private final CachedHead cachedHead;
    private final EmptiedHeadWriter emptiedHeadWriter;

    /** Receives the head without the claims that were moved to a page, to be written. */
    interface EmptiedHeadWriter {
        void write(long nowNanos, ClaimHead emptiedHead);
    }

    /** A move of a head's claims to a page. */
    private record Rotation(ClaimHead head, PageRef target, boolean startsPage) {
        /**
         * Returns whether a page found in the target's slot is the target or may be overwritten by
         * it.
         */
        boolean accepts(long foundGeneration) {
            return startsPage
                    ? foundGeneration <= target.generation()
                    : foundGeneration == target.generation();
        }
    }

    PageRotation(
            ClaimLimits limits,
            BucketCalls calls,
            CachedHead cachedHead,
            EmptiedHeadWriter emptiedHeadWriter) {
        this.limits = limits;
        this.calls = calls;
        this.cachedHead = cachedHead;
        this.emptiedHeadWriter = emptiedHeadWriter;
    }

    /** Moves the claims of the cached head. */
    void start(long nowNanos) {
        ClaimHead head = cachedHead.head();
        if (head.pages().isEmpty()) {
            startPage(nowNanos, head);
            return;
        }
        readTarget(nowNanos, new Rotation(head, head.pages().getLast(), false));
    }

    private void startPage(long nowNanos, ClaimHead head) {
        PageRef target = new PageRef(head.freeSlot(), head.nextGeneration(), 0, 0);
        readTarget(nowNanos, new Rotation(head, target, true));
    }

    private void readTarget(long nowNanos, Rotation rotation) {
        calls.readPage(
                nowNanos,
                rotation.target.slot(),
                (now, answer) -> {
                    if (answer instanceof StoreAnswer.Value value) {
                        calls.succeeded();
                        writeTarget(now, rotation, value);
                    } else {
                        calls.failed(now);
                    }
                });
    }

    private void writeTarget(long nowNanos, Rotation rotation, StoreAnswer.Value value) {
        Optional<ClaimPage> present = ClaimPage.in(value);
        long found = present.map(ClaimPage::generation).orElse(0L);
        long generation = rotation.target.generation();
        if (!rotation.accepts(found)) {
            startOver(nowNanos);
            return;
        }
        ClaimPage base =
                found == generation
                        ? present.orElseThrow()
                        : new ClaimPage(generation, 0, List.of());
        ClaimPage next = base.with(rotation.head.records().values());
        if (!rotation.startsPage && next.bytes() > limits.pageBytes()) {
            startPage(nowNanos, rotation.head);
            return;
        }
        calls.swapPage(
                nowNanos,
                rotation.target.slot(),
                value.revision(),
                next,
                (now, answer) -> {
                    if (answer instanceof StoreAnswer.Swapped) {
                        calls.succeeded();
                        cachedHead.addPage(next);
                        emptiedHeadWriter.write(now, emptiedHead(now, rotation, next));
                    } else {
                        startOver(now);
                    }
                });
    }

    private void startOver(long nowNanos) {
        cachedHead.invalidate();
        calls.failed(nowNanos);
    }

    private ClaimHead emptiedHead(long nowNanos, Rotation rotation, ClaimPage page) {
        long clockMillis = cachedHead.clockMillis(nowNanos);
        List<PageRef> pages = new ArrayList<>(rotation.head.pages());
        pages.removeIf(ref -> ref.generation() == page.generation());
        pages.add(
                new PageRef(
                        rotation.target.slot(), page.generation(), page.version(), clockMillis));
        long nextGeneration = Math.max(rotation.head.nextGeneration(), page.generation() + 1);
        return new ClaimHead(clockMillis, nextGeneration, Map.of(), List.copyOf(pages));
    }
}
