package org.orioleshed.settings;

/**
 * Who may use the admin API.
 *
 * @param name the name written to the audit log
 * @param keyHash SHA-256 of the bearer key, in lower-case hexadecimal
 * @param role what the operator may do
 */
public record Operator(String name, String keyHash, Role role) {
    private static final String SHA_256_HEX = "[0-9a-f]{64}";

    /** Checks the arguments. */
    public Operator {
        if (name == null || name.isBlank()) {
            throw new IllegalArgumentException("operator's name must not be blank");
        }
        if (keyHash == null || !keyHash.matches(SHA_256_HEX)) {
            throw new IllegalArgumentException("keyHash must be 64 lower-case hex digits");
        }
        if (role == null) {
            throw new IllegalArgumentException("role must be given");
        }
    }

    /** What an operator may do. */
    public enum Role {
        /** Look only. */
        READ,
        /** Look and change. */
        CHANGE
    }
}
