package org.orioleshed.soak;

/**
 * A part of prompts that crashes each server that starts to write an answer on it. Sound requests
 * share the first part with the ones that contain it.
 */
final class DeadlyPart {
    private static final String DEADLY_PART = "dead:40";

    private DeadlyPart() {}

    /** Returns the parts of a sound prompt whose last part is its own. */
    static String soundParts(int number) {
        return "c0:60,%x:20".formatted(0x1000 + number);
    }

    /** Returns the parts of a prompt that contains the deadly part. */
    static String deadlyParts(int number) {
        return "c0:60,%s,%x:20".formatted(DEADLY_PART, 0x1000 + number);
    }

    /** Returns whether a prompt's parts, as in its header, contain the deadly part. */
    static boolean isIn(String parts) {
        return parts.contains(DEADLY_PART);
    }
}
