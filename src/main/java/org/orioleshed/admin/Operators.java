package org.orioleshed.admin;

import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Optional;
import org.orioleshed.settings.Operator;

/** Finds the operator that a bearer key belongs to. */
final class Operators {
    private static final String SCHEME = "Bearer ";

    private final List<Operator> all;

    Operators(List<Operator> all) {
        this.all = List.copyOf(all);
    }

    /** Returns the operator of an {@code Authorization} header, in time that tells nothing. */
    Optional<Operator> find(String authorization) {
        if (authorization == null || !authorization.startsWith(SCHEME)) {
            return Optional.empty();
        }
        String key = authorization.substring(SCHEME.length());
        byte[] digest = Hashing.sha256().hashString(key, StandardCharsets.UTF_8).asBytes();
        Optional<Operator> found = Optional.empty();
        for (Operator operator : all) {
            byte[] wanted = BaseEncoding.base16().lowerCase().decode(operator.keyHash());
            if (MessageDigest.isEqual(digest, wanted)) {
                found = Optional.of(operator);
            }
        }
        return found;
    }
}
