package org.orioleshed.load;

/**
 * A planned request.
 *
 * @param index the position in the order of arrival
 * @param atMillis the arrival time, in milliseconds after the start
 * @param traffic the kind of request
 * @param workspace the sending workspace
 * @param promptTokens the length of the part of the prompt that is not shared, in tokens
 * @param answerTokens the length of the expected answer, in tokens
 * @param tag the identifier in the content that stand-ins record; also the idempotency key
 */
record PlannedRequest(
        int index,
        long atMillis,
        Traffic traffic,
        String workspace,
        int promptTokens,
        int answerTokens,
        String tag) {}
