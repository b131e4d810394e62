package org.orioleshed.load;

/** The hardware generations of the stand-in engines. */
enum Generation {
    G1(24, 2.5, 6_000),
    G2(16, 1.8, 9_000),
    G3(12, 1.2, 14_000),
    /** Takes no time at all. */
    COSTLESS(0, 0, 0);

    /** The time of a decoding step with one run, in milliseconds. */
    final double stepMillis;

    /** The time that each further run adds to a step, in milliseconds. */
    final double stepMillisPerRun;

    /** The prefill speed, in tokens a second. */
    final double prefillTokensPerSecond;

    Generation(double stepMillis, double stepMillisPerRun, double prefillTokensPerSecond) {
        this.stepMillis = stepMillis;
        this.stepMillisPerRun = stepMillisPerRun;
        this.prefillTokensPerSecond = prefillTokensPerSecond;
    }

    String id() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }

    /** Returns the generation of the server with this number: mostly old ones, a few new. */
    static Generation of(int server) {
        return switch (server % 6) {
            case 1, 4 -> G2;
            case 5 -> G3;
            default -> G1;
        };
    }
}
