package org.orioleshed.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ServerId;

/**
 * Properties of {@link ServerOwners}: even distribution, minimal moves when a host is lost, and
 * owners in the server's failure domain.
 */
class ServerOwnersProperties {
    private static final int SERVERS = 333;

    @Property(seed = "31", tries = 50)
    boolean losingAHostMovesOnlyItsServers(
            @ForAll @IntRange(min = 2, max = 8) int hosts,
            @ForAll @IntRange(min = 0, max = 7) int lost) {
        FleetSnapshot before = FleetSnapshots.of(2, hosts, SERVERS, 8);
        HostId gone = new HostId("suva-a-h" + (1 + lost % hosts));
        List<EntryHost> left = new ArrayList<>(before.hosts().values());
        left.removeIf(host -> host.id().equals(gone));
        FleetSnapshot after = FleetSnapshots.of(left, List.copyOf(before.servers().values()));
        ServerOwners old = ServerOwners.of(before);
        ServerOwners now = old.withFleet(after);
        for (ServerId server : before.servers().keySet()) {
            boolean moved = !old.owner(server).equals(now.owner(server));
            if (moved != old.owner(server).orElseThrow().equals(gone)) {
                return false;
            }
        }
        return true;
    }

    @Property(seed = "32", tries = 30)
    boolean distributesServersEvenly(@ForAll @IntRange(min = 2, max = 8) int hosts) {
        FleetSnapshot fleet = FleetSnapshots.of(1, hosts, SERVERS, 8);
        ServerOwners owners = ServerOwners.of(fleet);
        Map<HostId, Integer> counts = new HashMap<>();
        for (ServerId server : fleet.servers().keySet()) {
            counts.merge(owners.owner(server).orElseThrow(), 1, Integer::sum);
        }
        double mean = (double) SERVERS / hosts;
        // Four standard deviations of the count under a uniform distribution.
        double slack = 4 * Math.sqrt(mean);
        return counts.size() == hosts
                && counts.values().stream().allMatch(n -> Math.abs(n - mean) <= slack);
    }

    @Property(seed = "33", tries = 30)
    boolean ownersAreInTheServersFailureDomainWhileItHasHosts(
            @ForAll @IntRange(min = 1, max = 4) int hosts) {
        FleetSnapshot fleet = FleetSnapshots.of(3, hosts, 20, 8);
        ServerOwners owners = ServerOwners.of(fleet);
        for (BackendServer server : fleet.servers().values()) {
            EntryHost owner = fleet.hosts().get(owners.owner(server.id()).orElseThrow());
            if (!owner.domain().equals(server.domain())) {
                return false;
            }
        }
        List<EntryHost> others = new ArrayList<>(fleet.hosts().values());
        others.removeIf(host -> host.domain().equals(FleetSnapshots.LOCAL_DOMAIN));
        FleetSnapshot withoutDomain =
                FleetSnapshots.of(others, List.copyOf(fleet.servers().values()));
        ServerOwners fallback = ServerOwners.of(withoutDomain);
        return fleet.servers().keySet().stream().allMatch(s -> fallback.owner(s).isPresent());
    }
}
