package org.orioleshed.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.fleet.Target;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.VersionId;

/** An index of the backend servers of a fleet snapshot by target, version and failure domain. */
final class ServerIndex {
    static final ServerIndex EMPTY = new ServerIndex(ServerOwners.NONE, Map.of(), Map.of());

    private final ServerOwners owners;
    private final Map<ServerId, ServerView> byId;
    private final Map<PoolKey, Pool> pools;

    private ServerIndex(
            ServerOwners owners, Map<ServerId, ServerView> byId, Map<PoolKey, Pool> pools) {
        this.owners = owners;
        this.byId = byId;
        this.pools = pools;
    }

    /** Returns the index of {@code fleet}; this object when neither hosts nor servers changed. */
    ServerIndex withFleet(HostId self, FleetSnapshot fleet) {
        ServerOwners newOwners = owners.withFleet(fleet);
        if (newOwners == owners) {
            return this;
        }
        EntryHost own = fleet.hosts().get(self);
        Optional<FailureDomain> domain = Optional.ofNullable(own).map(EntryHost::domain);
        Map<ServerId, ServerView> views = new HashMap<>();
        Map<PoolKey, Pool> newPools = new HashMap<>();
        List<BackendServer> servers = new ArrayList<>(fleet.servers().values());
        servers.sort(Comparator.comparing(BackendServer::id));
        for (BackendServer server : servers) {
            HostId owner = newOwners.ownerOrNull(server.id());
            if (server.leaving() || owner == null) {
                continue;
            }
            ServerView view = new ServerView(server, owner);
            ServerView earlier = byId.get(server.id());
            if (earlier != null) {
                view.copyStateFrom(earlier);
            }
            views.put(server.id(), view);
            boolean near = domain.isPresent() && domain.get().equals(server.domain());
            add(newPools, new PoolKey(server.target(), Optional.empty()), view, near);
            add(newPools, new PoolKey(server.target(), Optional.of(server.version())), view, near);
        }
        return new ServerIndex(newOwners, views, newPools);
    }

    Optional<ServerView> server(ServerId id) {
        return Optional.ofNullable(byId.get(id));
    }

    /** Returns the servers that run {@code target}, limited to one version if given. */
    Pool pool(Target target, Optional<VersionId> version) {
        return pools.getOrDefault(new PoolKey(target, version), Pool.NONE);
    }

    private static void add(Map<PoolKey, Pool> pools, PoolKey key, ServerView view, boolean near) {
        Pool pool = pools.computeIfAbsent(key, k -> new Pool(new ArrayList<>(), new ArrayList<>()));
        (near ? pool.near() : pool.far()).add(view);
    }

    /**
     * Interchangeable servers.
     *
     * @param near the servers of this host's failure domain
     * @param far all other servers
     */
    record Pool(List<ServerView> near, List<ServerView> far) {
        static final Pool NONE = new Pool(List.of(), List.of());

        int size() {
            return near.size() + far.size();
        }
    }

    private record PoolKey(Target target, Optional<VersionId> version) {}
}
