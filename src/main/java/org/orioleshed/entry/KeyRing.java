package org.orioleshed.entry;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.orioleshed.fleet.Workspace;
import org.orioleshed.fleet.World;

/**
 * Finds the workspace of a bearer key. Only hashes are kept, and they are compared in constant
 * time.
 */
final class KeyRing {
    private static final String BEARER = "Bearer ";
    private final Map<String, Workspace> byHash = new HashMap<>();

    KeyRing(World world) {
        for (Workspace workspace : world.workspaces().values()) {
            workspace.keyHashes().forEach(hash -> byHash.put(hash, workspace));
        }
    }

    /** Returns the workspace whose key the header carries. */
    Optional<Workspace> workspace(String authorization) {
        if (authorization == null || !authorization.startsWith(BEARER)) {
            return Optional.empty();
        }
        String key = authorization.substring(BEARER.length()).strip();
        String hash = Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
        Workspace found = byHash.get(hash);
        if (found == null) {
            return Optional.empty();
        }
        boolean same = found.keyHashes().stream().anyMatch(known -> equal(known, hash));
        return same ? Optional.of(found) : Optional.empty();
    }

    private static boolean equal(String known, String given) {
        return MessageDigest.isEqual(
                known.getBytes(StandardCharsets.UTF_8), given.getBytes(StandardCharsets.UTF_8));
    }
}
