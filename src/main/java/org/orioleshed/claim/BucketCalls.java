package org.orioleshed.claim;

import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/** The store calls of one bucket: one at a time, with exponential backoff after failures. */
final class BucketCalls {
    private static final long FIRST_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final int MAX_RETRY_DOUBLINGS = 5;

    private final String headKey;
    private final StoreCalls store;
    private final LongConsumer onFinished;
    private boolean busy;
    private long nextAttemptNanos;
    private int failures;

    /**
     * Creates an instance without a pending call.
     *
     * @param headKey the store key of the head, which prefixes the keys of the pages
     * @param store performs the calls
     * @param onFinished receives the time after each answer was handled
     */
    BucketCalls(String headKey, StoreCalls store, LongConsumer onFinished) {
        this.headKey = headKey;
        this.store = store;
        this.onFinished = onFinished;
    }

    /** Returns whether a call is pending. */
    boolean isBusy() {
        return busy;
    }

    /** Returns whether no call is pending and the pause after the last one is over. */
    boolean mayStart(long nowNanos) {
        return !busy && nowNanos >= nextAttemptNanos;
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

    /** Resets the backoff after the store answered. */
    void succeeded() {
        failures = 0;
    }

    /** Backs off; the pause doubles with each consecutive failure, up to a limit. */
    void failed(long nowNanos) {
        nextAttemptNanos =
                nowNanos + (FIRST_RETRY_NANOS << Math.min(failures, MAX_RETRY_DOUBLINGS));
        failures++;
    }

    void pauseUntil(long untilNanos) {
        nextAttemptNanos = untilNanos;
    }

    private StoreCalls.Handler finishing(StoreCalls.Handler handler) {
        return (nowNanos, answer) -> {
            busy = false;
            handler.answered(nowNanos, answer);
            onFinished.accept(nowNanos);
        };
    }

    private String pageKey(int slot) {
        return headKey + "/" + slot;
    }
}
