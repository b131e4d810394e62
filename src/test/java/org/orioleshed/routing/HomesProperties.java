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
import org.orioleshed.fleet.World;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ServerId;

/** Properties of {@link Homes}. */
class HomesProperties {
    private static final int SERVERS = 333;

    @Property(seed = "31", tries = 50)
    boolean losingAHostMovesItsServersOnly(
            @ForAll @IntRange(min = 2, max = 8) int hosts,
            @ForAll @IntRange(min = 0, max = 7) int lost) {
        World before = Worlds.of(2, hosts, SERVERS, 8);
        HostId gone = new HostId("suva-a-h" + (1 + lost % hosts));
        List<EntryHost> left = new ArrayList<>(before.hosts().values());
        left.removeIf(host -> host.id().equals(gone));
        World after = Worlds.of(left, List.copyOf(before.servers().values()));
        Homes old = Homes.of(before);
        Homes now = old.in(after);
        for (ServerId server : before.servers().keySet()) {
            boolean moved = !old.home(server).equals(now.home(server));
            if (moved != old.home(server).orElseThrow().equals(gone)) {
                return false;
            }
        }
        return true;
    }

    @Property(seed = "32", tries = 30)
    boolean spreadsServersEvenly(@ForAll @IntRange(min = 2, max = 8) int hosts) {
        World world = Worlds.of(1, hosts, SERVERS, 8);
        Homes homes = Homes.of(world);
        Map<HostId, Integer> counts = new HashMap<>();
        for (ServerId server : world.servers().keySet()) {
            counts.merge(homes.home(server).orElseThrow(), 1, Integer::sum);
        }
        double mean = (double) SERVERS / hosts;
        // Four standard deviations of the count that an even draw gives.
        double slack = 4 * Math.sqrt(mean);
        return counts.size() == hosts
                && counts.values().stream().allMatch(n -> Math.abs(n - mean) <= slack);
    }

    @Property(seed = "33", tries = 30)
    boolean homesAreInTheServersOwnFailureDomainWhileItHasHosts(
            @ForAll @IntRange(min = 1, max = 4) int hosts) {
        World world = Worlds.of(3, hosts, 20, 8);
        Homes homes = Homes.of(world);
        for (BackendServer server : world.servers().values()) {
            EntryHost home = world.hosts().get(homes.home(server.id()).orElseThrow());
            if (!home.domain().equals(server.domain())) {
                return false;
            }
        }
        List<EntryHost> others = new ArrayList<>(world.hosts().values());
        others.removeIf(host -> host.domain().equals(Worlds.NEAR));
        World cut = Worlds.of(others, List.copyOf(world.servers().values()));
        Homes fallen = Homes.of(cut);
        return world.servers().keySet().stream().allMatch(s -> fallen.home(s).isPresent());
    }
}
