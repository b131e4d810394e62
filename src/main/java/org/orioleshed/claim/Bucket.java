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
 * The claims of one bucket of keys. New ones are written in groups into the bucket's head, a single
 * key of the store, by compare-and-swap: so of two hosts that claim one key, one sees the other. A
 * full head is moved to a page first; pages are only ever added to, until they are older than the
 * retention.
 *
 * <p>One call on the store is under way at a time. A write whose answer is lost is settled by
 * reading the head back: a claim is there under its own run, or it is written again.
 */
final class Bucket {
    private final ClaimLimits limits;
    private final StoreCalls store;
    private final BucketCalls calls;
    private final BucketQueue queue;
    private final KnownHead known = new KnownHead();
    private final PageRotation pageRotation;
    private boolean pumping;

    /** All that registered up to here may rely on the head as it is known. */
    private long fresh = -1;

    Bucket(String prefix, ClaimLimits limits, StoreCalls store) {
        this.limits = limits;
        this.store = store;
        this.calls = new BucketCalls(prefix, store, this::pump);
        this.queue = new BucketQueue(limits);
        this.pageRotation =
                new PageRotation(
                        limits,
                        calls,
                        known,
                        (nowNanos, empty) -> writeHead(nowNanos, empty, List.of()));
    }

    void claim(
            long nowNanos,
            RequestKey key,
            RunId run,
            Optional<RunId> replaces,
            boolean own,
            PendingClaim.Settled settled) {
        queue.addClaim(nowNanos, key, run, replaces, own, settled);
        pump(nowNanos);
    }

    void lookUp(long nowNanos, RequestKey key, PendingClaim.Settled settled) {
        queue.addLookUp(nowNanos, key, settled);
        pump(nowNanos);
    }

    void record(long nowNanos, RequestKey key, RunId run, Outcome outcome, Runnable written) {
        queue.addOutcome(nowNanos, key, run, outcome, written);
        pump(nowNanos);
    }

    /** Gives up on a claim; should it land all the same, its key is freed again. */
    void abandon(RequestKey key, RunId run) {
        queue.abandon(key, run);
    }

    boolean isClaiming(RunId run) {
        return queue.isClaiming(run);
    }

    boolean isIdle() {
        return queue.isIdle(calls.isBusy() || !known.isKnown());
    }

    /** Reads the head for the first time, or to see whether the store is back. */
    void probe(long nowNanos) {
        if (!calls.isBusy()) {
            readHead(nowNanos);
        }
    }

    void tick(long nowNanos) {
        queue.expire(nowNanos, store.isUnavailable());
        pump(nowNanos);
    }

    /** Does the next thing that is due, unless a call on the store is under way. */
    private void pump(long nowNanos) {
        if (pumping || !calls.mayStart(nowNanos) || !queue.isDue(nowNanos, mayRead())) {
            return;
        }
        pumping = true;
        step(nowNanos);
        pumping = false;
    }

    private boolean mayRead() {
        return !known.isKnown() && !store.isUnavailable();
    }

    private void step(long nowNanos) {
        if (!known.isKnown() || queue.needsHeadAfter(fresh, known.head())) {
            readHead(nowNanos);
            return;
        }
        Optional<PageRef> missing = known.missingPage();
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
        long upTo = queue.lastRegistered();
        calls.readHead(
                nowNanos,
                (now, answer) -> {
                    if (answer instanceof StoreAnswer.Value value && adopt(now, value)) {
                        fresh = upTo;
                        calls.succeeded();
                    } else {
                        calls.failed(now);
                    }
                });
    }

    /** Returns whether the head that was read is the one known from now on. */
    private boolean adopt(long nowNanos, StoreAnswer.Value value) {
        KnownHead.Adoption adoption = known.adopt(nowNanos, value);
        if (adoption == KnownHead.Adoption.CHANGED) {
            queue.forgetPages();
            queue.settleLanded(nowNanos, known.head());
        }
        return adoption != KnownHead.Adoption.REFUSED;
    }

    /** Takes a page that was read. */
    private interface PageReader {
        void read(ClaimPage page);
    }

    private void readPage(long nowNanos, PageRef ref, PageReader reader) {
        calls.readPage(
                nowNanos,
                ref.slot(),
                (now, answer) -> {
                    Optional<ClaimPage> page = ClaimPage.in(answer).filter(ref::isMetBy);
                    if (page.isPresent()) {
                        calls.succeeded();
                        known.learn(page.get());
                        reader.read(page.get());
                        return;
                    }
                    if (answer instanceof StoreAnswer.Value) {
                        known.forget();
                    }
                    calls.failed(now);
                });
    }

    /** Settles look-ups until a page has to be read for one. */
    private void settleLookUps(long nowNanos) {
        for (PendingClaim lookUp : queue.lookUps()) {
            switch (known.stateFor(lookUp)) {
                case KeyState.Free free -> queue.settle(nowNanos, lookUp, new Claims.Result.Free());
                case KeyState.Taken taken -> queue.settle(nowNanos, lookUp, taken.result());
                case KeyState.InPage in -> {
                    readPage(nowNanos, in.page(), page -> settleByPage(nowNanos, lookUp, page));
                    return;
                }
            }
        }
    }

    /** Settles a claim by the page that may hold its key, or clears that page for it. */
    private void settleByPage(long nowNanos, PendingClaim claim, ClaimPage page) {
        Optional<ClaimRecord> present = page.find(claim.key);
        if (present.isEmpty()) {
            claim.cleared.add(page.generation());
            return;
        }
        if (claim.mayReplace(present.get())) {
            claim.cleared.addAll(known.generationsUpTo(page.generation()));
            return;
        }
        Claims.Result result =
                claim.isOf(present.get()) ? new Claims.Result.Acquired() : present.get().taken();
        queue.settle(nowNanos, claim, result);
    }

    /** Writes what is due, or moves the head's claims to a page when nothing fits in. */
    private void write(long nowNanos) {
        ClaimHead current = known.head().at(known.clockMillis(nowNanos), limits.retentionMillis());
        HeadWrite next = new HeadWrite(current, limits.headBytes());
        for (PendingClaim claim : queue.claims()) {
            switch (known.stateFor(claim)) {
                case KeyState.Free free -> next.claim(claim);
                case KeyState.Taken taken -> queue.settle(nowNanos, claim, taken.result());
                case KeyState.InPage in -> {
                    readPage(nowNanos, in.page(), page -> settleByPage(nowNanos, claim, page));
                    return;
                }
            }
        }
        queue.outcomes().forEach(next::end);
        if (next.isDue(nowNanos)) {
            writeHead(nowNanos, next.head(), next.ends());
        } else if (next.isFull()) {
            pageRotation.start(nowNanos);
        }
    }

    private void writeHead(long nowNanos, ClaimHead next, List<PendingOutcome> ends) {
        calls.swapHead(
                nowNanos,
                known.revision(),
                next,
                (now, answer) -> {
                    if (answer instanceof StoreAnswer.Swapped swapped) {
                        calls.succeeded();
                        known.set(nowNanos, next, swapped.revision());
                        long spacing = TimeUnit.MILLISECONDS.toNanos(limits.spacingMillis());
                        calls.pauseUntil(nowNanos + spacing);
                        queue.written(ends);
                        queue.settleLanded(now, next);
                    } else {
                        writeFailed(now, answer);
                    }
                });
    }

    private void writeFailed(long nowNanos, StoreAnswer answer) {
        known.forget();
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
