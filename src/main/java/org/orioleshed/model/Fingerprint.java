package org.orioleshed.model;

/**
 * A digest of a request's content; equal for a resend under another key.
 *
 * @param high the upper 64 bits
 * @param low the lower 64 bits
 */
public record Fingerprint(long high, long low) {
    @Override
    public String toString() {
        return String.format("%016x%016x", high, low);
    }
}
