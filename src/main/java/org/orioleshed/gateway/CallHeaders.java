package org.orioleshed.gateway;

import java.util.Optional;

/**
 * What a caller's header fields say of its request.
 *
 * @param id the caller's id of this attempt; empty where it states none
 * @param key the key that it holds
 * @param deadlineMillis how long it waits, in milliseconds; negative where it does not say
 * @param promptTokens the tokens of its prompt; 0 for a plain call
 * @param outputTokens the tokens that it expects at most
 * @param likelyTokens the tokens that it expects to be generated
 * @param statedTokens what it counts against a quota in tokens; negative where it states none
 */
public record CallHeaders(
        String id,
        Optional<String> key,
        long deadlineMillis,
        long promptTokens,
        long outputTokens,
        long likelyTokens,
        long statedTokens) {}
