package org.orioleshed.gateway;

import java.util.List;
import java.util.Optional;
import org.orioleshed.model.PartId;

/**
 * The values read from the header fields of a caller's request.
 *
 * @param id the caller's id of this attempt; empty if absent
 * @param key the caller's API key; empty if absent
 * @param deadlineMillis how long the caller waits, in milliseconds; negative if not stated
 * @param promptTokens the number of tokens in the prompt; 0 for a plain call
 * @param outputTokens the maximum number of output tokens
 * @param likelyTokens the expected number of output tokens
 * @param statedTokens the tokens to charge to a quota in tokens; negative if not stated
 * @param sharedParts the parts of the prompt that other requests may share, in order; empty for a
 *     plain call
 */
public record CallHeaders(
        String id,
        Optional<String> key,
        long deadlineMillis,
        long promptTokens,
        long outputTokens,
        long likelyTokens,
        long statedTokens,
        List<PartId> sharedParts) {
    /** Copies the list. */
    public CallHeaders {
        sharedParts = List.copyOf(sharedParts);
    }
}
