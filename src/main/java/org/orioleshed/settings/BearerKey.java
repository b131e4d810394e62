package org.orioleshed.settings;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;

/**
 * The hash of a key that came as a bearer token; the key itself is not kept.
 *
 * @param hash the SHA-256 of the key, in lower-case hexadecimal
 */
public record BearerKey(String hash) {
    private static final String SCHEME = "Bearer ";

    /** Returns the key in an {@code Authorization} header; empty where there is none. */
    public static Optional<BearerKey> of(String authorization) {
        if (authorization == null || !authorization.startsWith(SCHEME)) {
            return Optional.empty();
        }
        String key = authorization.substring(SCHEME.length()).strip();
        return Optional.of(
                new BearerKey(Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString()));
    }

    /** Returns whether the key has the hash {@code known}, in time that tells nothing of it. */
    public boolean hasHash(String known) {
        return MessageDigest.isEqual(
                known.getBytes(StandardCharsets.UTF_8), hash.getBytes(StandardCharsets.UTF_8));
    }
}
