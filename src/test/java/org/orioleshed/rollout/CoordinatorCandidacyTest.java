package org.orioleshed.rollout;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.model.RolloutId;
import org.testng.annotations.Test;

/**
 * Guards against a leaving host that takes the coordinator's lease, which would stall the rollout
 * until the lease expires.
 */
public class CoordinatorCandidacyTest {
    private static final HostId SELF = new HostId("entry-1");
    private static final RolloutId ROLLOUT = new RolloutId("m1");

    private static FleetSnapshot snapshot(EntryHost.State state) {
        EntryHost self =
                new EntryHost(
                        SELF,
                        new FailureDomain("suva-a"),
                        1,
                        InetSocketAddress.createUnresolved("entry-1", 1),
                        state);
        return new FleetSnapshot(
                1, Map.of(SELF, self), Map.of(), Map.of(), Map.of(), Map.of(), Map.of());
    }

    @Test
    public void leavingHostDoesNotBecomeTheCoordinator() {
        CoordinatorCandidacy candidacy = new CoordinatorCandidacy(SELF);
        candidacy.changeHosts(snapshot(EntryHost.State.ALIVE));
        long nowNanos = TimeUnit.MINUTES.toNanos(1);
        candidacy.rolloutObserved(ROLLOUT, nowNanos);
        assertTrue(candidacy.shouldTry(ROLLOUT, nowNanos));
        candidacy.changeHosts(snapshot(EntryHost.State.LEAVING));
        assertFalse(candidacy.shouldTry(ROLLOUT, nowNanos));
    }
}
