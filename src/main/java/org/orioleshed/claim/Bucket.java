package org.orioleshed.claim;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.orioleshed.claim.ClaimHead.PageRef;
import org.orioleshed.host.HostEvent.StoreAnswer;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.RequestKey;
import org.orioleshed.model.RunId;
import org.orioleshed.request.Claims;

/**
 * The claims of one bucket of keys. New claims are written in batches to the bucket's head, a
 * single key of the store, by compare-and-swap, so that of two hosts that claim the same key one
 * sees the other's claim. The claims of a full head are moved to a page first. Pages are only
 * appended to, until they exceed the retention time.
 *
 * <p>At most one store call is pending at a time. After a write whose answer was lost, the head is
 * read back: a claim is present under its own run, or it is written again.
 */
final class Bucket {
    private final ClaimLimits limits;
    private final StoreCalls store;
    private final BucketCalls calls;
    private final BucketQueue queue;
    private final CachedHead cachedHead = new CachedHead();
    private final PageRotation pageRotation;
    private boolean pumping;

    /** The head was read after all claims and lookups up to this sequence number were added. */
    private long freshThrough = -1;

    Bucket(String prefix, ClaimLimits limits, StoreCalls store) {
        this.limits = limits;
        this.store = store;
        this.calls = new BucketCalls(prefix, store, this::pump);
        this.queue = new BucketQueue(limits);
        this.pageRotation =
                new PageRotation(
                        limits,
                        calls,
                        cachedHead,
                        (nowNanos, empty) -> writeHead(nowNanos, empty, List.of()));
    }

    void claim(
            long nowNanos,
            RequestKey key,
            RunId run,
            Optional<RunId> replaces,
            boolean local,
            PendingClaim.Settled settled) {
        queue.addClaim(nowNanos, key, run, replaces, local, settled);
        pump(nowNanos);
    }

    void lookUp(long nowNanos, RequestKey key, PendingClaim.Settled settled) {
        queue.addLookUp(nowNanos, key, settled);
        pump(nowNanos);
    }

    void record(long nowNanos, RequestKey key, RunId run, Outcome outcome, Runnable onWritten) {
        queue.addOutcome(nowNanos, key, run, outcome, onWritten);
        pump(nowNanos);
    }

    /** Abandons a claim; if its write is applied later, its key is released again. */
    void abandon(RequestKey key, RunId run) {
        queue.abandon(key, run);
    }

    boolean isClaiming(RunId run) {
        return queue.isClaiming(run);
    }

    boolean isIdle() {
        return queue.isIdle(calls.isBusy() || !cachedHead.isLoaded());
    }

    /** Reads the head to check whether the store is available. */
    void probe(long nowNanos) {
        if (!calls.isBusy()) {
            readHead(nowNanos);
        }
    }

    void tick(long nowNanos) {
        queue.expire(nowNanos, store.isUnavailable());
        pump(nowNanos);
    }

    /** Performs the next step that is due, unless a store call is pending. */
    private void pump(long nowNanos) {
        if (pumping || !calls.mayStart(nowNanos) || !queue.isDue(nowNanos, mayRead())) {
            return;
        }
        pumping = true;
        step(nowNanos);
        pumping = false;
    }

    private boolean mayRead() {
        return !cachedHead.isLoaded() && !store.isUnavailable();
    }

    private void step(long nowNanos) {
        if (!cachedHead.isLoaded() || queue.needsHeadAfter(freshThrough, cachedHead.head())) {
            readHead(nowNanos);
            return;
        }
        Optional<PageRef> missing = cachedHead.missingPage();
        if (missing.isPresent()) {
            readPage(nowNanos, missing.get(), page -> {});
            return;
        }
        settleLookUps(nowNanos);
        if (!calls.isBusy()) {
            write(nowNanos);
        }
    }

    private void readHead(long nowNanos) {
        long readThrough = queue.lastSequenceNumber();
        calls.readHead(
                nowNanos,
                (now, answer) -> {
                    if (answer instanceof StoreAnswer.Value value && adopt(now, value)) {
                        freshThrough = readThrough;
                        calls.succeeded();
                    } else {
                        calls.failed(now);
                    }
                });
    }

    /** Returns whether the head that was read is now the cached one. */
    private boolean adopt(long nowNanos, StoreAnswer.Value value) {
        CachedHead.Adoption adoption = cachedHead.adopt(nowNanos, value);
        if (adoption == CachedHead.Adoption.CHANGED) {
            queue.resetClearedPages();
            queue.settleApplied(nowNanos, cachedHead.head());
        }
        return adoption != CachedHead.Adoption.REFUSED;
    }

    /** Receives a page that was read. */
    private interface PageReader {
        void read(ClaimPage page);
    }

    private void readPage(long nowNanos, PageRef ref, PageReader reader) {
        calls.readPage(
                nowNanos,
                ref.slot(),
                (now, answer) -> {
                    Optional<ClaimPage> page = ClaimPage.in(answer).filter(ref::matches);
                    if (page.isPresent()) {
                        calls.succeeded();
                        cachedHead.addPage(page.get());
                        reader.read(page.get());
                        return;
                    }
                    if (answer instanceof StoreAnswer.Value) {
                        cachedHead.invalidate();
                    }
                    calls.failed(now);
                });
    }

    /** Settles lookups until one requires a page to be read. */
    private void settleLookUps(long nowNanos) {
        for (PendingClaim lookUp : queue.lookUps()) {
            switch (cachedHead.stateFor(lookUp)) {
                case KeyState.Free free -> queue.settle(nowNanos, lookUp, new Claims.Result.Free());
                case KeyState.Taken taken -> queue.settle(nowNanos, lookUp, taken.result());
                case KeyState.InPage in -> {
                    readPage(nowNanos, in.page(), page -> settleByPage(nowNanos, lookUp, page));
                    return;
                }
            }
        }
    }

    /**
     * Settles a claim by the page that may contain its key, or marks the page as cleared for it.
     */
    private void settleByPage(long nowNanos, PendingClaim claim, ClaimPage page) {
        Optional<ClaimRecord> present = page.find(claim.key);
        if (present.isEmpty()) {
            claim.cleared.add(page.generation());
            return;
        }
        if (claim.mayReplace(present.get())) {
            claim.cleared.addAll(cachedHead.generationsUpTo(page.generation()));
            return;
        }
        Claims.Result result =
                claim.isOf(present.get()) ? new Claims.Result.Acquired() : present.get().taken();
        queue.settle(nowNanos, claim, result);
    }

    /** Writes what is due, or moves the head's claims to a page if nothing fits. */
    private void write(long nowNanos) {
        ClaimHead current =
                cachedHead
                        .head()
                        .advancedTo(cachedHead.clockMillis(nowNanos), limits.retentionMillis());
        HeadWrite next = new HeadWrite(current, limits.headBytes());
        for (PendingClaim claim : queue.claims()) {
            switch (cachedHead.stateFor(claim)) {
                case KeyState.Free free -> next.addClaim(claim);
                case KeyState.Taken taken -> queue.settle(nowNanos, claim, taken.result());
                case KeyState.InPage in -> {
                    readPage(nowNanos, in.page(), page -> settleByPage(nowNanos, claim, page));
                    return;
                }
            }
        }
        queue.outcomes().forEach(next::addOutcome);
        if (next.isDue(nowNanos)) {
            writeHead(nowNanos, next.head(), next.outcomes());
        } else if (next.isFull()) {
            pageRotation.start(nowNanos);
        }
    }

    private void writeHead(long nowNanos, ClaimHead next, List<PendingOutcome> outcomes) {
        calls.swapHead(
                nowNanos,
                cachedHead.revision(),
                next,
                (now, answer) -> {
                    if (answer instanceof StoreAnswer.Swapped swapped) {
                        calls.succeeded();
                        cachedHead.set(nowNanos, next, swapped.revision());
                        long spacing = TimeUnit.MILLISECONDS.toNanos(limits.spacingMillis());
                        calls.pauseUntil(nowNanos + spacing);
                        queue.onWritten(outcomes);
                        queue.settleApplied(now, next);
                    } else {
                        writeFailed(now, answer);
                    }
                });
    }

    private void writeFailed(long nowNanos, StoreAnswer answer) {
        cachedHead.invalidate();
        if (!(answer instanceof StoreAnswer.Conflict conflict)) {
            calls.failed(nowNanos);
            return;
        }
        calls.succeeded();
        if (!adopt(nowNanos, new StoreAnswer.Value(conflict.value(), conflict.revision()))) {
            calls.failed(nowNanos);
        }
    }
}
