package org.orioleshed.claim;

import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/** The calls of one bucket on the store: one at a time, with a pause after each that failed. */
final class BucketCalls {
    private static final long FIRST_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final int MAX_RETRY_BITS = 5;

    private final String headKey;
    private final StoreCalls store;
    private final LongConsumer afterwards;
    private boolean busy;
    private long nextTryNanos;
    private int failures;

    /**
     * Makes calls for a bucket that has made none.
     *
     * @param headKey the store's key of the head; those of the pages lie below it
     * @param store takes the calls
     * @param afterwards is told the time after each answer was handled
     */
    BucketCalls(String headKey, StoreCalls store, LongConsumer afterwards) {
        this.headKey = headKey;
        this.store = store;
        this.afterwards = afterwards;
    }

    /** Returns whether a call is under way. */
    boolean isBusy() {
        return busy;
    }

    /** Returns whether no call is under way and none has to be waited for. */
    boolean mayStart(long nowNanos) {
        return !busy && nowNanos >= nextTryNanos;
    }

    void readHead(long nowNanos, StoreCalls.Handler handler) {
        busy = true;
        store.read(nowNanos, headKey, finishing(handler));
    }

    void readPage(long nowNanos, int slot, StoreCalls.Handler handler) {
        busy = true;
        store.read(nowNanos, pageKey(slot), finishing(handler));
    }

    void swapHead(long nowNanos, long revision, ClaimHead next, StoreCalls.Handler handler) {
        busy = true;
        store.swap(nowNanos, headKey, revision, ClaimCodec.encode(next), finishing(handler));
    }

    void swapPage(
            long nowNanos, int slot, long revision, ClaimPage next, StoreCalls.Handler handler) {
        busy = true;
        store.swap(nowNanos, pageKey(slot), revision, ClaimCodec.encode(next), finishing(handler));
    }

    /** Notes that the store answered, so that the next failure pauses shortly again. */
    void succeeded() {
        failures = 0;
    }

    /** Pauses, for longer after each failure in a row. */
    void failed(long nowNanos) {
        nextTryNanos = nowNanos + (FIRST_RETRY_NANOS << Math.min(failures, MAX_RETRY_BITS));
        failures++;
    }

    void pauseUntil(long untilNanos) {
        nextTryNanos = untilNanos;
    }

    private StoreCalls.Handler finishing(StoreCalls.Handler handler) {
        return (nowNanos, answer) -> {
            busy = false;
            handler.answered(nowNanos, answer);
            afterwards.accept(nowNanos);
        };
    }

    private String pageKey(int slot) {
        return headKey + "/" + slot;
    }
}
