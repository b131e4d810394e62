package org.orioleshed.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.fleet.Rendezvous;
import org.orioleshed.fleet.World;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ServerId;

/**
 * The home of each backend server: the entry host that wins rendezvous hashing among the hosts of
 * the server's failure domain that take work. A failure domain without such hosts falls to the
 * hosts of all others. Immutable.
 */
public final class Homes {
    /** The homes of a fleet without servers. */
    public static final Homes NONE = new Homes(Map.of(), Map.of(), Map.of());

    private final Map<HostId, EntryHost> hosts;
    private final Map<ServerId, BackendServer> servers;
    private final Map<ServerId, HostId> homes;

    private Homes(
            Map<HostId, EntryHost> hosts,
            Map<ServerId, BackendServer> servers,
            Map<ServerId, HostId> homes) {
        this.hosts = hosts;
        this.servers = servers;
        this.homes = homes;
    }

    /** Returns the homes of the servers of {@code world}. */
    public static Homes of(World world) {
        return NONE.in(world);
    }

    /**
     * Returns the homes in {@code world}: this object when neither hosts nor servers changed, so
     * that a change of settings alone costs nothing.
     */
    public Homes in(World world) {
        if (hosts.equals(world.hosts()) && servers.equals(world.servers())) {
            return this;
        }
        return compute(world);
    }

    /** Returns the home of {@code server}; empty when it is unknown or no host takes work. */
    public Optional<HostId> home(ServerId server) {
        return Optional.ofNullable(homes.get(server));
    }

    /** Returns the server's home, or null. */
    HostId homeOrNull(ServerId server) {
        return homes.get(server);
    }

    private static Homes compute(World world) {
        List<HostId> all = new ArrayList<>();
        Map<FailureDomain, List<HostId>> byDomain = new HashMap<>();
        for (EntryHost host : world.hosts().values()) {
            if (!host.takesWork()) {
                continue;
            }
            all.add(host.id());
            byDomain.computeIfAbsent(host.domain(), d -> new ArrayList<>()).add(host.id());
        }
        Map<ServerId, HostId> homes = new HashMap<>();
        for (BackendServer server : world.servers().values()) {
            List<HostId> near = byDomain.getOrDefault(server.domain(), all);
            Rendezvous.choose(near, server.id().value())
                    .ifPresent(home -> homes.put(server.id(), home));
        }
        return new Homes(world.hosts(), world.servers(), homes);
    }
}
