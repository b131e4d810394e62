package org.orioleshed.move;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.fleet.World;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.model.MoveId;
import org.testng.annotations.Test;

/** Tests of {@link MoverTurn}. */
public class MoverTurnTest {
    private static final HostId SELF = new HostId("entry-1");
    private static final MoveId MOVE = new MoveId("m1");

    private static World world(EntryHost.State state) {
        EntryHost self =
                new EntryHost(
                        SELF,
                        new FailureDomain("suva-a"),
                        1,
                        InetSocketAddress.createUnresolved("entry-1", 1),
                        state);
        return new World(1, Map.of(SELF, self), Map.of(), Map.of(), Map.of(), Map.of(), Map.of());
    }

    @Test
    public void hostThatLeavesDoesNotBecomeTheMover() {
        MoverTurn turn = new MoverTurn(SELF);
        turn.changeHosts(world(EntryHost.State.ALIVE));
        long nowNanos = TimeUnit.MINUTES.toNanos(1);
        turn.moveKnown(MOVE, nowNanos);
        assertTrue(turn.isMine(MOVE, nowNanos));
        turn.changeHosts(world(EntryHost.State.LEAVING));
        assertFalse(turn.isMine(MOVE, nowNanos));
    }
}
