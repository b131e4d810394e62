package org.orioleshed.settings;

/**
 * An operator with access to the admin API.
 *
 * @param name the name written to the audit log
 * @param keyHash SHA-256 of the bearer key, in lower-case hexadecimal
 * @param role the operator's permissions
 */
public record Operator(String name, String keyHash, Role role) {
    private static final String SHA_256_HEX = "[0-9a-f]{64}";

    /** Checks the arguments. */
    public Operator {
        if (name == null || name.isBlank()) {
            throw new IllegalArgumentException("operator name must not be blank");
        }
        if (keyHash == null || !keyHash.matches(SHA_256_HEX)) {
            throw new IllegalArgumentException("keyHash must be 64 lower-case hexadecimal digits");
        }
        if (role == null) {
            throw new IllegalArgumentException("role must not be null");
        }
    }

    /** The permissions of an operator. */
    public enum Role {
        /** Read access. */
        READ,
        /** Read and write access. */
        CHANGE
    }
}
