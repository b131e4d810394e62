package org.orioleshed.rollout;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ServerId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against load trials that raise the share of all requests above that of the step, or that
 * never load a single server.
 */
public class LoadTrialTest {
    private static final double AVERAGE = 0.04;
    private static final long TICK_MILLIS = 20;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private static FakeFleet fleet(int domains, int hostsPerDomain) {
        return new FakeFleet(
                new SplittableRandom(1), RolloutLimits.DEFAULT, domains, hostsPerDomain);
    }

    @DataProvider
    Object[][] fleets() {
        return new Object[][] {
            {1, 1, 0}, {3, 2, 0}, {4, 2, 60}, {4, 2, 600}, {3, 2, 3_600}, {7, 19, 0}, {7, 19, 3_600}
        };
    }

    /**
     * All hosts have the same traffic, so the share of all requests is the mean of the hosts'
     * shares.
     */
    @Test(dataProvider = "fleets")
    public void meanShareOfAllHostsStaysAtTheStepsShare(
            int domains, int hostsPerDomain, long seconds) {
        FakeFleet fleet = fleet(domains, hostsPerDomain);
        FleetSnapshot snapshot = fleet.snapshot;
        long roundMillis = 4_000L * snapshot.hosts().size();
        double sum = 0;
        long count = 0;
        for (HostId host : snapshot.hosts().keySet()) {
            LoadTrial trial = new LoadTrial(host, RolloutLimits.DEFAULT);
            for (long at = 0; at < roundMillis; at += TICK_MILLIS) {
                sum += trial.share(seconds * NANOS_PER_SECOND, at, snapshot, AVERAGE);
                count++;
            }
        }
        double share = sum / count;
        assertTrue(share <= 0.05, "share " + share);
        assertTrue(share >= AVERAGE / 2, "share " + share);
    }

    @Test
    public void burstShareGrowsOverTime() {
        FakeFleet fleet = fleet(3, 2);
        HostId first = fleet.hosts.keySet().iterator().next();
        LoadTrial trial = new LoadTrial(first, RolloutLimits.DEFAULT);
        double early = trial.share(0, 0, fleet.snapshot, AVERAGE);
        double late = trial.share(600 * NANOS_PER_SECOND, 0, fleet.snapshot, AVERAGE);
        assertTrue(late > early, early + " then " + late);
        assertEquals(late, 1.0);
    }

    @Test
    public void onlyOneServerOfTheHostsDomainIsNotHeldBack() {
        FakeFleet fleet = fleet(3, 1);
        HostId host = fleet.hosts.keySet().iterator().next();
        LoadTrial trial = new LoadTrial(host, RolloutLimits.DEFAULT);
        List<BackendServer> servers =
                fleet.snapshot.servers().values().stream()
                        .filter(server -> server.version().equals(FakeFleet.NEW))
                        .toList();
        Set<ServerId> heldBack = trial.heldBack(servers, new FailureDomain("d1"));
        assertEquals(heldBack, Set.of(new ServerId("d0-new"), new ServerId("d2-new")));
    }
}
