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

/** Tests of {@link CoordinatorTurn}. */
public class CoordinatorTurnTest {
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
    public void hostThatLeavesDoesNotBecomeTheCoordinator() {
        CoordinatorTurn turn = new CoordinatorTurn(SELF);
        turn.changeHosts(snapshot(EntryHost.State.ALIVE));
        long nowNanos = TimeUnit.MINUTES.toNanos(1);
        turn.rolloutObserved(ROLLOUT, nowNanos);
        assertTrue(turn.isMine(ROLLOUT, nowNanos));
        turn.changeHosts(snapshot(EntryHost.State.LEAVING));
        assertFalse(turn.isMine(ROLLOUT, nowNanos));
    }
}
