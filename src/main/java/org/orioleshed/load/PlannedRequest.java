package org.orioleshed.load;

/**
 * A request of the plan.
 *
 * @param index its place in the order of arrival
 * @param atMillis when it arrives, in milliseconds after the start
 * @param traffic its kind
 * @param workspace its workspace
 * @param promptTokens the length of its own part of the prompt, in tokens
 * @param answerTokens the length of its answer, in tokens
 * @param tag the word in its content that stand-ins know it by; also its idempotency key
 */
record PlannedRequest(
        int index,
        long atMillis,
        Traffic traffic,
        String workspace,
        int promptTokens,
        int answerTokens,
        String tag) {}
