package org.orioleshed.trial;

/**
 * A kind of request that callers send to engines.
 *
 * @param name its name in reports
 * @param rank its urgency, 0 first
 * @param perSecond how many come at full load, over all engines
 * @param promptTokens the tokens to read; positive
 * @param outputTokens the tokens to generate; positive
 * @param aimMillis the first event should come in this time
 * @param deadlineMillis the caller leaves after this time
 * @param worth what an answer in time is worth
 * @param lateWorth what a whole answer is worth whose first event was late
 */
record RequestKind(
        String name,
        int rank,
        double perSecond,
        int promptTokens,
        int outputTokens,
        long aimMillis,
        long deadlineMillis,
        double worth,
        double lateWorth) {}
