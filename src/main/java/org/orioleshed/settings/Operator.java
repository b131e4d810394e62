package org.orioleshed.settings;

/**
 * Who may use the admin API.
 *
 * @param name the name written to the audit log
 * @param keyHash SHA-256 of the bearer key, in lower-case hexadecimal
 * @param role what the operator may do
 */
public record Operator(String name, String keyHash, Role role) {
    /** What an operator may do. */
    public enum Role {
        /** Look only. */
        READ,
        /** Look and change. */
        CHANGE
    }
}
