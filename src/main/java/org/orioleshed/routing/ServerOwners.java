package org.orioleshed.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.fleet.Rendezvous;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ServerId;

/**
 * The owner of each backend server: the entry host chosen by rendezvous hashing among the hosts of
 * the server's failure domain that take work. The servers of a failure domain without such hosts
 * are owned by the hosts of all other domains. Immutable.
 */
public final class ServerOwners {
    /** The owners of a fleet without servers. */
    public static final ServerOwners NONE = new ServerOwners(Map.of(), Map.of(), Map.of());

    private final Map<HostId, EntryHost> hosts;
    private final Map<ServerId, BackendServer> servers;
    private final Map<ServerId, HostId> owners;

    private ServerOwners(
            Map<HostId, EntryHost> hosts,
            Map<ServerId, BackendServer> servers,
            Map<ServerId, HostId> owners) {
        this.hosts = hosts;
        this.servers = servers;
        this.owners = owners;
    }

    /** Returns the owners of the servers of {@code fleet}. */
    public static ServerOwners of(FleetSnapshot fleet) {
        return NONE.withFleet(fleet);
    }

    /**
     * Returns the owners in {@code fleet}: this object when neither hosts nor servers changed, so
     * that a change of settings alone does not recompute the owners.
     */
    public ServerOwners withFleet(FleetSnapshot fleet) {
        if (hosts.equals(fleet.hosts()) && servers.equals(fleet.servers())) {
            return this;
        }
        return compute(fleet);
    }

    /** Returns the owner of {@code server}; empty when it is unknown or no host takes work. */
    public Optional<HostId> owner(ServerId server) {
        return Optional.ofNullable(owners.get(server));
    }

    /** Returns the server's owner, or null. */
    HostId ownerOrNull(ServerId server) {
        return owners.get(server);
    }

    private static ServerOwners compute(FleetSnapshot fleet) {
        List<HostId> all = new ArrayList<>();
        Map<FailureDomain, List<HostId>> byDomain = new HashMap<>();
        for (EntryHost host : fleet.hosts().values()) {
            if (!host.takesWork()) {
                continue;
            }
            all.add(host.id());
            byDomain.computeIfAbsent(host.domain(), d -> new ArrayList<>()).add(host.id());
        }
        Map<ServerId, HostId> owners = new HashMap<>();
        for (BackendServer server : fleet.servers().values()) {
            List<HostId> near = byDomain.getOrDefault(server.domain(), all);
            Rendezvous.choose(near, server.id().value())
                    .ifPresent(owner -> owners.put(server.id(), owner));
        }
        return new ServerOwners(fleet.hosts(), fleet.servers(), owners);
    }
}
