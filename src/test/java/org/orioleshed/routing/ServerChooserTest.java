package org.orioleshed.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.ModelId;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.Tier;
import org.orioleshed.model.VersionId;
import org.orioleshed.routing.RoutingMessage.DomainLoads;
import org.orioleshed.routing.RoutingMessage.ModelLoad;
import org.orioleshed.routing.RoutingMessage.ServerLoad;
import org.orioleshed.routing.RoutingMessage.ServerLoads;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the order and the filtering of servers in {@link ServerChooser}. */
public class ServerChooserTest {
    private static final List<Long> PREFIX = List.of(1L, 2L, 3L, 4L, 5L, 6L, 7L, 8L);

    private ServerChooser chooser;

    @BeforeMethod
    public void setUp() {
        chooser = new ServerChooser(FleetSnapshots.SELF, RoutingLimits.DEFAULTS);
    }

    private List<ServerId> choose(FleetSnapshot fleet, Tier tier, List<Long> prefix, int count) {
        return chooser
                .choose(
                        fleet,
                        FleetSnapshots.request(1, tier, prefix),
                        Optional.empty(),
                        Set.of(),
                        count,
                        0)
                .stream()
                .map(Candidate::server)
                .toList();
    }

    private static ServerLoad load(int server, long waitMillis, int gapMillis) {
        List<Long> waits = List.of(waitMillis, waitMillis, waitMillis);
        return new ServerLoad(id("suva-a", server), 8, 8, waits, 4_000, gapMillis);
    }

    private static ServerId id(String domain, int server) {
        return new ServerId(domain + "-" + server);
    }

    @Test
    public void prefersTheShortestWait() {
        FleetSnapshot fleet = FleetSnapshots.of(1, 2, 3, 8);
        choose(fleet, Tier.STANDARD, List.of(), 1);
        chooser.observe(
                0, new ServerLoads(List.of(load(1, 900, 30), load(2, 90, 30), load(3, 500, 30))));
        assertEquals(
                choose(fleet, Tier.STANDARD, List.of(), 3),
                List.of(id("suva-a", 2), id("suva-a", 3), id("suva-a", 1)));
    }

    @Test
    public void keepsUrgentRequestsOffSlowStreams() {
        FleetSnapshot fleet = FleetSnapshots.of(1, 1, 2, 8);
        choose(fleet, Tier.URGENT, List.of(), 1);
        chooser.observe(0, new ServerLoads(List.of(load(1, 0, 200), load(2, 600, 30))));
        assertEquals(choose(fleet, Tier.URGENT, List.of(), 1), List.of(id("suva-a", 2)));
    }

    @Test
    public void includesTheServerWithTheLongestCachedPrefix() {
        FleetSnapshot fleet = FleetSnapshots.of(1, 1, 3, 8);
        choose(fleet, Tier.STANDARD, PREFIX, 1);
        chooser.observe(
                0, new ServerLoads(List.of(load(1, 2_000, 30), load(2, 0, 30), load(3, 10, 30))));
        chooser.placed(id("suva-a", 1), PREFIX);
        assertEquals(
                choose(fleet, Tier.STANDARD, PREFIX, 2), List.of(id("suva-a", 2), id("suva-a", 1)));
    }

    @Test
    public void cachedPromptOutweighsAShortWait() {
        FleetSnapshot fleet = FleetSnapshots.of(1, 1, 2, 8);
        choose(fleet, Tier.STANDARD, PREFIX, 1);
        chooser.observe(0, new ServerLoads(List.of(load(1, 50, 30), load(2, 0, 30))));
        chooser.placed(id("suva-a", 1), PREFIX);
        assertEquals(choose(fleet, Tier.STANDARD, PREFIX, 1), List.of(id("suva-a", 1)));
    }

    @Test
    public void requestsBetweenReportsAreSpreadOverServers() {
        FleetSnapshot fleet = FleetSnapshots.of(1, 1, 4, 2);
        Set<ServerId> chosen = new HashSet<>();
        for (int i = 0; i < 8; i++) {
            ServerId server = choose(fleet, Tier.STANDARD, List.of(), 1).getFirst();
            chosen.add(server);
            chooser.placed(server, List.of());
        }
        assertEquals(chosen.size(), 4);
    }

    @Test
    public void totalsOfARemoteDomainLeadToItsBestServers() {
        FleetSnapshot fleet = FleetSnapshots.of(2, 1, 3, 8);
        choose(fleet, Tier.STANDARD, List.of(), 1);
        chooser.observe(
                0,
                new ServerLoads(
                        List.of(load(1, 5_000, 30), load(2, 5_000, 30), load(3, 5_000, 30))));
        ServerId best = id("suva-b", 2);
        ModelLoad total =
                new ModelLoad(new ModelId("letters"), 3, 4, List.of(0L, 0L, 0L), List.of(best));
        chooser.observe(0, new DomainLoads(new FailureDomain("suva-b"), List.of(total)));
        assertEquals(choose(fleet, Tier.STANDARD, List.of(), 1), List.of(best));
    }

    @Test
    public void omitsExcludedLeavingAndOtherVersionServers() {
        FleetSnapshot fleet = FleetSnapshots.of(1, 1, 3, 8);
        List<Candidate> none =
                chooser.choose(
                        fleet,
                        FleetSnapshots.request(1, Tier.URGENT, List.of()),
                        Optional.of(new VersionId("v2")),
                        Set.of(),
                        3,
                        0);
        assertTrue(none.isEmpty());
        List<Candidate> some =
                chooser.choose(
                        fleet,
                        FleetSnapshots.request(1, Tier.URGENT, List.of()),
                        Optional.of(new VersionId("v1")),
                        Set.of(id("suva-a", 1)),
                        Integer.MAX_VALUE,
                        0);
        assertEquals(some.size(), 2);
        FleetSnapshot leaving =
                FleetSnapshots.of(
                        List.copyOf(fleet.hosts().values()),
                        List.of(
                                FleetSnapshots.server("suva-a-1", FleetSnapshots.LOCAL_DOMAIN, 8)
                                        .withLeaving(true)));
        assertTrue(choose(leaving, Tier.URGENT, List.of(), 3).isEmpty());
    }

    @DataProvider
    Object[][] sizes() {
        return new Object[][] {{8}, {80}, {333}};
    }

    @Test(dataProvider = "sizes")
    public void returnsAllServersWhenTheCountIsUnlimited(int servers) {
        FleetSnapshot fleet = FleetSnapshots.of(2, 2, servers, 8);
        List<ServerId> all = choose(fleet, Tier.URGENT, List.of(), Integer.MAX_VALUE);
        assertEquals(new HashSet<>(all), fleet.servers().keySet());
        assertEquals(all.size(), 2 * servers);
    }

    @Test
    public void naivePolicyIsRoundRobin() {
        ServerChooser naive =
                new ServerChooser(
                        FleetSnapshots.SELF, RoutingLimits.DEFAULTS.withPolicy(Policy.NAIVE));
        FleetSnapshot fleet = FleetSnapshots.of(1, 1, 3, 8);
        List<ServerId> chosen = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            chosen.add(
                    naive.choose(
                                    fleet,
                                    FleetSnapshots.request(i, Tier.URGENT, PREFIX),
                                    Optional.empty(),
                                    Set.of(),
                                    1,
                                    0)
                            .getFirst()
                            .server());
        }
        assertEquals(
                chosen,
                List.of(id("suva-a", 1), id("suva-a", 2), id("suva-a", 3), id("suva-a", 1)));
    }

    @Test
    public void expectedTokensFollowTheAnswerLengths() {
        for (int i = 0; i < 50; i++) {
            chooser.answered(new RouteId("gangway"), 20);
        }
        assertEquals(chooser.expectedTokens(FleetSnapshots.request(1, Tier.URGENT, List.of())), 20);
    }
}
