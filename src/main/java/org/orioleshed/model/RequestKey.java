package org.orioleshed.model;

/**
 * The caller's idempotency key within its workspace; resends carry the same key.
 *
 * @param workspace the caller's workspace
 * @param key the key chosen by the caller, not blank, at most 200 characters
 */
public record RequestKey(WorkspaceId workspace, String key) {
    /** Checks the arguments. */
    public RequestKey {
        if (workspace == null) {
            throw new IllegalArgumentException("workspace must be given");
        }
        Ids.require(key, "key");
    }

    @Override
    public String toString() {
        return workspace + "/" + key;
    }
}
