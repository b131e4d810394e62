package org.orioleshed.dispatch;

/**
 * A limit that an answer of a server states for the requests of all hosts together: the requests
 * that it accepts, or the rejections above which it crashes.
 */
public sealed interface StatedLimit {
    /** An answer without a limit. */
    StatedLimit NONE = new None();

    /** No answer, or one whose limit can't be parsed. */
    StatedLimit UNKNOWN = new Unknown();

    /**
     * A stated rate.
     *
     * @param perSecond the rate in requests or rejections per second; finite and not negative
     */
    record Rate(double perSecond) implements StatedLimit {
        /** Checks the rate. */
        public Rate {
            if (!Double.isFinite(perSecond) || perSecond < 0) {
                throw new IllegalArgumentException(
                        "a stated rate must be finite and not negative, found " + perSecond);
            }
        }

        @Override
        public String toString() {
            return Double.toString(perSecond);
        }
    }

    /** No limit is stated. */
    record None() implements StatedLimit {
        @Override
        public String toString() {
            return "none";
        }
    }

    /** The limit is unknown. */
    record Unknown() implements StatedLimit {
        @Override
        public String toString() {
            return "unknown";
        }
    }
}
