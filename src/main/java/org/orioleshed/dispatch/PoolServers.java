package org.orioleshed.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.ServerId;

/**
 * The servers of one pool. The state of a server is kept for a while after its entry disappears: an
 * entry can return after an interruption of its heartbeat, and the server's runs, its notice of
 * leaving and its speed still hold then.
 */
final class PoolServers {
    private static final int MAX_ABSENT = 1_024;

    private final PacedServers paced;
    private final Map<ServerId, ServerState> present = new HashMap<>();
    private final Map<ServerId, ServerState> absent = new LinkedHashMap<>();

    PoolServers(PacedServers paced) {
        this.paced = paced;
    }

    /** Returns the servers that have entries. */
    Collection<ServerState> all() {
        return present.values();
    }

    /** Returns the number of servers that are paced. */
    int paced() {
        return (int) present.values().stream().filter(ServerState::isPaced).count();
    }

    /** Returns a server by id if it has an entry. */
    Optional<ServerState> get(ServerId id) {
        return Optional.ofNullable(present.get(id));
    }

    /** Returns whether no server may run a request, or all that may are evacuated. */
    boolean hasNoneFor(PlacementRequest request) {
        return present.values().stream()
                .allMatch(server -> server.isEvacuated() || !request.permits(server.server()));
    }

    /** Marks the servers of evacuated failure domains. */
    void setEvacuated(Set<FailureDomain> domains) {
        present.values()
                .forEach(server -> server.setEvacuated(domains.contains(server.server().domain())));
    }

    /**
     * Adds or updates a server's entry.
     *
     * @return whether another incarnation of the server was recorded
     */
    boolean put(PoolServer server, long nowNanos) {
        ServerState recorded = present.get(server.id());
        boolean wasAbsent = recorded == null;
        if (wasAbsent) {
            recorded = absent.remove(server.id());
        }
        if (recorded != null && isSameStart(recorded, server, wasAbsent)) {
            recorded.update(server);
            present.put(server.id(), recorded);
            return false;
        }
        ServerPacing pacing = paced.create(server, nowNanos);
        if (recorded != null && recorded.server().version().equals(server.version())) {
            pacing.inherit(recorded.pacing());
        }
        present.put(server.id(), new ServerState(server, pacing, nowNanos));
        return recorded != null;
    }

    /**
     * A server that does not state its start time may have restarted while its entry was absent.
     */
    private static boolean isSameStart(ServerState recorded, PoolServer server, boolean wasAbsent) {
        boolean hasStartTime = server.startMillis() != 0;
        return recorded.server().sameStart(server) && (hasStartTime || !wasAbsent);
    }

    /** Removes a server that was moved to another pool. */
    void remove(ServerId id) {
        present.remove(id);
        absent.remove(id);
    }

    /**
     * Sets aside the servers that no longer have an entry.
     *
     * @return the servers that had an entry before this call
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
