package org.orioleshed.load;

/** The hardware generations of the stand-in engines. */
enum Generation {
    G1(24, 2.5, 6_000),
    G2(16, 1.8, 9_000),
    G3(12, 1.2, 14_000),
    /** Computes in zero time. */
    COSTLESS(0, 0, 0);

    /** The time of a decode step with one run, in milliseconds. */
    final double stepMillis;

    /** The time that each additional run adds to a decode step, in milliseconds. */
    final double stepMillisPerRun;

    /** The prefill rate, in tokens per second. */
    final double prefillTokensPerSecond;

    Generation(double stepMillis, double stepMillisPerRun, double prefillTokensPerSecond) {
        this.stepMillis = stepMillis;
        this.stepMillisPerRun = stepMillisPerRun;
        this.prefillTokensPerSecond = prefillTokensPerSecond;
    }

    String id() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }

    /** Returns the generation of the engine with this index: half G1, a third G2, a sixth G3. */
    static Generation of(int index) {
        return switch (index % 6) {
            case 1, 4 -> G2;
            case 5 -> G3;
            default -> G1;
        };
    }
}
