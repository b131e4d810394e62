package org.orioleshed.trial;

/**
 * A kind of request.
 *
 * @param name the name in reports
 * @param rank the rank of the tier; 0 is the most urgent
 * @param perSecond the arrival rate at a load of 1 on one engine of speed 1, in requests per second
 * @param promptTokens the length of the prompt, in tokens; positive
 * @param outputTokens the length of the output, in tokens; positive
 * @param targetMillis the target time to the first event, in milliseconds
 * @param deadlineMillis the time after which the caller leaves, in milliseconds
 * @param value the value of a complete answer whose first event met the target
 * @param lateValue the value of a complete answer whose first event missed the target
 */
record RequestKind(
        String name,
        int rank,
        double perSecond,
        int promptTokens,
        int outputTokens,
        long targetMillis,
        long deadlineMillis,
        double value,
        double lateValue) {}
