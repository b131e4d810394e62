package org.orioleshed.dispatch;

/** How fast the servers of a pool are on average, learned from all their answers. */
final class PoolSpeed {
    /** First beliefs, replaced by some tens of answers: usual figures of large model engines. */
    private static final double FIRST_OFFSET_MILLIS = 50;

    private static final double FIRST_MILLIS_PER_TOKEN = 0.01;
    private static final double USUAL_TOKENS = 4_000;
    private static final double PRIOR_POINTS = 20;
    private static final double EVENT_MILLIS = 25;
    private static final double PLAIN_MILLIS = 30;
    private static final double NEW_PART = 0.02;

    private final LinearFit first =
            new LinearFit(FIRST_OFFSET_MILLIS, FIRST_MILLIS_PER_TOKEN, USUAL_TOKENS, PRIOR_POINTS);
    private double eventMillis = EVENT_MILLIS;
    private double plainMillis = PLAIN_MILLIS;

    /** Returns the time to the first event with {@code tokens} to read before it. */
    double firstMillis(long tokens) {
        return first.at((double) tokens);
    }

    /** Returns the usual time to a run's first event, or to the answer of a plain call. */
    double expectedMillis(Running run) {
        return run.reading() > 0 ? firstMillis(run.reading()) : plainMillis;
    }

    double eventMillis() {
        return eventMillis;
    }

    double plainMillis() {
        return plainMillis;
    }

    void learnFirst(long tokens, double millis) {
        first.add((double) tokens, millis);
    }

    void learnEvent(double millis) {
        eventMillis += NEW_PART * (millis - eventMillis);
    }

    void learnPlain(double millis) {
        plainMillis += NEW_PART * (millis - plainMillis);
    }
}
