package org.orioleshed.dispatch;

/** What an answer of a server says of how many requests it takes from all hosts together. */
public sealed interface StatedLimit {
    /** An answer that names no limit. */
    StatedLimit NONE = new None();

    /** No answer, or one whose words on it can't be read. */
    StatedLimit UNKNOWN = new Unknown();

    /**
     * It takes this many.
     *
     * @param perSecond requests a second; finite and not negative
     */
    record Rate(double perSecond) implements StatedLimit {
        /** Checks the rate. */
        public Rate {
            if (!Double.isFinite(perSecond) || perSecond < 0) {
                throw new IllegalArgumentException("a rate must be finite and not negative");
            }
        }

        @Override
        public String toString() {
            return Double.toString(perSecond);
        }
    }

    /** It names no limit. */
    record None() implements StatedLimit {
        @Override
        public String toString() {
            return "none";
        }
    }

    /** Nothing is known of it. */
    record Unknown() implements StatedLimit {
        @Override
        public String toString() {
            return "unknown";
        }
    }
}
