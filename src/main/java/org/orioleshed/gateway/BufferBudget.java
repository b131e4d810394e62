package org.orioleshed.gateway;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Bounds what a host buffers for callers that read or write slowly. Pure: times are given, in
 * nanoseconds on the monotonic clock.
 *
 * <p>Each caller may use a fixed part of what is free, so that a few slow callers get much and many
 * get little each, without a state in which one more caller stops all. Beyond it, the host stops
 * reading from the caller's server. Where the total is used up nevertheless, the caller that has
 * been slow for the longest time is cut off, and large requests are refused.
 *
 * @param <C> the type that identifies a caller's connection
 */
final class BufferBudget<C> {
    /** With n such callers, 1/(1 + n/8) of the budget remains free for others. */
    private static final int FREE_PARTS = 8;

    /** Smaller bodies are always read; Netty buffers this much for each connection anyway. */
    private static final int SMALL_BYTES = 64 << 10;

    private final Map<C, Usage> usages = new HashMap<>();
    private long budgetBytes;
    private long totalBytes;

    private record Usage(long bytes, long sinceNanos) {}

    /** Sets the total, in bytes; 0 if none is stated, and nothing is bounded. */
    void limit(long newBudgetBytes) {
        budgetBytes = newBudgetBytes;
    }

    /** Returns the bytes buffered for all callers. */
    long totalBytes() {
        return totalBytes;
    }

    /** Records what is buffered for a caller, in bytes. */
    void update(C caller, long bytes, long nowNanos) {
        Usage before = usages.get(caller);
        totalBytes += bytes - (before == null ? 0 : before.bytes());
        if (bytes == 0) {
            usages.remove(caller);
        } else {
            usages.put(caller, new Usage(bytes, before == null ? nowNanos : before.sinceNanos()));
        }
    }

    /** Returns whether the host may read more from the server of a caller that reads slowly. */
    boolean mayBuffer(C caller) {
        Usage usage = usages.get(caller);
        long usedBytes = usage == null ? 0 : usage.bytes();
        return usedBytes < (budgetBytes - totalBytes) / FREE_PARTS;
    }

    /** Returns whether a request with a body of this size may be read. */
    boolean mayRead(long bodyBytes) {
        return budgetBytes == 0
                || bodyBytes <= Math.max(SMALL_BYTES, (budgetBytes - totalBytes) / FREE_PARTS);
    }

    /**
     * Returns the caller to cut off: where the budget is exceeded, the one for which something has
     * been buffered for the longest time without a break.
     */
    Optional<C> cutOff() {
        if (budgetBytes == 0 || totalBytes <= budgetBytes) {
            return Optional.empty();
        }
        return usages.entrySet().stream()
                .min(Map.Entry.comparingByValue(Comparator.comparingLong(Usage::sinceNanos)))
                .map(Map.Entry::getKey);
    }
}
