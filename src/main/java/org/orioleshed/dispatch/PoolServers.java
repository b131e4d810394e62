package org.orioleshed.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.model.ServerId;

/**
 * The servers of one pool. What is known of a server outlasts its entry for a while: an entry comes
 * back after a silence of its heartbeat, and the server's runs, its word that it leaves and its
 * speed are what they were.
 */
final class PoolServers {
    private static final int MAX_ABSENT = 1_024;

    private final Map<ServerId, ServerState> present = new HashMap<>();
    private final Map<ServerId, ServerState> absent = new LinkedHashMap<>();

    /** Returns the servers that have entries. */
    Collection<ServerState> all() {
        return present.values();
    }

    Set<ServerId> ids() {
        return present.keySet();
    }

    /** Returns a server that has an entry. */
    Optional<ServerState> get(ServerId id) {
        return Optional.ofNullable(present.get(id));
    }

    /**
     * Takes a server's entry.
     *
     * @return whether another start of it was there
     */
    boolean put(PoolServer server, long nowNanos) {
        ServerState known = present.get(server.id());
        boolean wasAbsent = known == null;
        if (wasAbsent) {
            known = absent.remove(server.id());
        }
        if (known != null && isSameStart(known, server, wasAbsent)) {
            known.update(server);
            present.put(server.id(), known);
            return false;
        }
        present.put(server.id(), new ServerState(server, nowNanos));
        return known != null;
    }

    /** One that does not state its birth may have started anew while its entry was away. */
    private static boolean isSameStart(ServerState known, PoolServer server, boolean wasAbsent) {
        boolean stated = server.startMillis() != 0;
        return known.server().sameStart(server) && (stated || !wasAbsent);
    }

    /** Removes a server that belongs to another pool now. */
    void forget(ServerId id) {
        present.remove(id);
        absent.remove(id);
    }

    /**
     * Sets aside the servers without an entry.
     *
     * @return those that had one until now
     */
    Set<ServerId> retain(Set<ServerId> entries) {
        Set<ServerId> gone = new HashSet<>(present.keySet());
        gone.removeAll(entries);
        gone.forEach(id -> absent.put(id, present.remove(id)));
        while (absent.size() > MAX_ABSENT) {
            absent.remove(absent.keySet().iterator().next());
        }
        return gone;
    }
}
