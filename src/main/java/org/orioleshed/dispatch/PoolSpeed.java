package org.orioleshed.dispatch;

/** The average speed of the servers of a pool, estimated from all their answers. */
final class PoolSpeed {
    /**
     * Initial estimates, typical of inference engines for large models; some tens of answers
     * replace them.
     */
    private static final double INITIAL_OFFSET_MILLIS = 50;

    private static final double INITIAL_MILLIS_PER_TOKEN = 0.01;
    private static final double TYPICAL_TOKENS = 4_000;
    private static final double PRIOR_POINTS = 20;
    private static final double INITIAL_EVENT_GAP_MILLIS = 25;
    private static final double INITIAL_PLAIN_MILLIS = 30;
    private static final double SMOOTHING = 0.02;

    private final LinearFit firstEvent =
            new LinearFit(
                    INITIAL_OFFSET_MILLIS, INITIAL_MILLIS_PER_TOKEN, TYPICAL_TOKENS, PRIOR_POINTS);
    private double eventGapMillis = INITIAL_EVENT_GAP_MILLIS;
    private double plainMillis = INITIAL_PLAIN_MILLIS;

    /** Returns the time to the first event after a prefill of {@code tokens}, in milliseconds. */
    double firstEventMillis(double tokens) {
        return firstEvent.at(tokens);
    }

    /**
     * Returns the expected time to a run's first event, or to the answer of a plain call, in
     * milliseconds.
     */
    double expectedMillis(ActiveRun run) {
        return run.prefillTokens() > 0
                ? firstEventMillis((double) run.prefillTokens())
                : plainMillis;
    }

    double eventGapMillis() {
        return eventGapMillis;
    }

    double plainMillis() {
        return plainMillis;
    }

    void recordFirstEvent(long tokens, double millis) {
        firstEvent.add((double) tokens, millis);
    }

    void recordEventGap(double millis) {
        eventGapMillis += SMOOTHING * (millis - eventGapMillis);
    }

    void recordPlain(double millis) {
        plainMillis += SMOOTHING * (millis - plainMillis);
    }
}
