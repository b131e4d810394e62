package org.orioleshed.settings;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;

/**
 * The SHA-256 hash of a bearer key. The key itself is not retained.
 *
 * @param hash the SHA-256 of the key, in lower-case hexadecimal
 */
public record BearerKey(String hash) {
    private static final String SCHEME = "Bearer ";

    /**
     * Parses an {@code Authorization} header; empty if it is absent, not a bearer token, or has a
     * blank one. Settings may hold the hash of an empty text by mistake, which nobody must match.
     */
    public static Optional<BearerKey> of(String authorization) {
        if (authorization == null || !authorization.startsWith(SCHEME)) {
            return Optional.empty();
        }
        String key = authorization.substring(SCHEME.length()).strip();
        if (key.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new BearerKey(Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString()));
    }

    /** Returns whether the key hashes to {@code expectedHash}. Compares in constant time. */
    public boolean hasHash(String expectedHash) {
        return MessageDigest.isEqual(
                expectedHash.getBytes(StandardCharsets.UTF_8),
                hash.getBytes(StandardCharsets.UTF_8));
    }
}
