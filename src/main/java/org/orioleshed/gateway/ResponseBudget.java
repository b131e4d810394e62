package org.orioleshed.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Bounds what a host keeps of servers' responses that have not ended. A faulty server may send
 * bytes without end; the response that holds most is given up, and the others go on.
 *
 * @param <R> the type that identifies a response
 */
final class ResponseBudget<R> {
    private final Map<R, Long> kept = new HashMap<>();
    private long budgetBytes;
    private long totalBytes;

    /** Sets the total, in bytes; 0 if none is stated, and nothing is bounded. */
    void limit(long newBudgetBytes) {
        budgetBytes = newBudgetBytes;
    }

    /** Returns the bytes kept of all responses. */
    long totalBytes() {
        return totalBytes;
    }

    /**
     * Records what is kept of a response, in bytes.
     *
     * @return the response to give up; empty if all are within the budget
     */
    Optional<R> update(R response, long bytes) {
        Long before = bytes == 0 ? kept.remove(response) : kept.put(response, bytes);
        totalBytes += bytes - (before == null ? 0 : before);
        if (budgetBytes == 0 || totalBytes <= budgetBytes) {
            return Optional.empty();
        }
        return kept.entrySet().stream().max(Map.Entry.comparingByValue()).map(Map.Entry::getKey);
    }
}
