package org.orioleshed.soak;

/**
 * A promise that was broken.
 *
 * @param callId the call concerned; empty where there is none
 */
record Violation(String rule, String callId, String text) {
    @Override
    public String toString() {
        return "%s %s %s".formatted(rule, callId, text);
    }
}
