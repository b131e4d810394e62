package org.orioleshed.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.orioleshed.model.HostId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link Membership} at several sizes, on a stepped clock. */
public class MembershipTest {
    private static final long JOIN_MILLIS = 20_000;
    private static final long LEAVING_MILLIS = 2_000;
    private static final long DETECTION_MILLIS = 10_000;
    private static final long HEAL_MILLIS = 20_000;
    private static final double BUDGET_BYTES_PER_SECOND = 9_000;

    @DataProvider
    Object[][] sizes() {
        return new Object[][] {{8}, {45}, {133}, {400}};
    }

    private static SteppedFleet joined(int size, long seed) {
        SteppedFleet fleet = new SteppedFleet(size, seed);
        fleet.runUntil(() -> fleet.allSee(size), JOIN_MILLIS);
        assertTrue(fleet.allSee(size));
        fleet.runMillis(15_000);
        return fleet;
    }

    @Test(dataProvider = "sizes")
    public void aDeadHostIsRemovedEverywhere(int size) {
        SteppedFleet fleet = joined(size, 1);
        fleet.stopped.add(SteppedFleet.id(3));
        long millis = fleet.runUntil(() -> fleet.allSee(size - 1), DETECTION_MILLIS);
        System.out.printf("hosts=%d detectionMillis=%d%n", size, millis);
        assertTrue(fleet.allSee(size - 1));
    }

    @Test(dataProvider = "sizes")
    public void aLeavingMarkSpreadsInTwoSeconds(int size) {
        SteppedFleet fleet = joined(size, 2);
        HostId leaver = SteppedFleet.id(5);
        fleet.act(leaver, new MembershipEvent.LeaveAsked());
        long millis = fleet.runUntil(() -> fleet.allSeeLeaving(leaver), LEAVING_MILLIS);
        System.out.printf("hosts=%d leavingMillis=%d%n", size, millis);
        assertTrue(fleet.allSeeLeaving(leaver));
    }

    @Test(dataProvider = "sizes")
    public void aQuietFleetKeepsWithinItsBudget(int size) {
        SteppedFleet fleet = joined(size, 3);
        fleet.bytesSent.clear();
        fleet.runMillis(10_000);
        long most = fleet.bytesSent.values().stream().mapToLong(Long::longValue).max().orElse(0);
        System.out.printf("hosts=%d bytesPerSecond=%d%n", size, most / 10);
        assertTrue(most / 10.0 <= BUDGET_BYTES_PER_SECOND);
        assertEquals(fleet.deaths, 0);
    }

    @Test(dataProvider = "sizes")
    public void noLiveHostIsDeclaredDeadWhenATwentiethOfMessagesIsLost(int size) {
        SteppedFleet fleet = joined(size, 4);
        fleet.loss = 0.05;
        fleet.runMillis(60_000);
        assertEquals(fleet.deaths, 0);
    }

    @Test(dataProvider = "sizes")
    public void viewsDifferInAPartitionAndMergeAfterIt(int size) {
        SteppedFleet fleet = joined(size, 5);
        Map<HostId, Boolean> left = new HashMap<>();
        for (int i = 0; i < size; i++) {
            left.put(SteppedFleet.id(i), i % 4 == 0);
        }
        fleet.cut = (from, to) -> !left.get(from).equals(left.get(to));
        fleet.runMillis(30_000);
        assertEquals(fleet.hosts.get(SteppedFleet.id(0)).members().size(), Math.ceilDiv(size, 4));
        fleet.cut = (from, to) -> false;
        long millis = fleet.runUntil(() -> fleet.allSee(size), HEAL_MILLIS);
        System.out.printf("hosts=%d healMillis=%d%n", size, millis);
        assertTrue(fleet.allSee(size));
    }

    @Test
    public void aHostThatStartsAnewIsTakenBackAndNoLongerLeaving() {
        SteppedFleet fleet = joined(8, 6);
        fleet.act(SteppedFleet.id(2), new MembershipEvent.LeaveAsked());
        fleet.runMillis(LEAVING_MILLIS);
        fleet.start(2, 2);
        fleet.runUntil(() -> !fleet.allSeeLeaving(SteppedFleet.id(2)), HEAL_MILLIS);
        fleet.runMillis(LEAVING_MILLIS);
        for (Membership host : fleet.hosts.values()) {
            assertTrue(host.members().stream().noneMatch(Member::leaving));
        }
    }

    @Test
    public void aPausedHostSuspectsNobodyWhenItGoesOn() {
        SteppedFleet fleet = joined(8, 7);
        HostId paused = SteppedFleet.id(1);
        fleet.stopped.add(paused);
        fleet.runMillis(1_500);
        fleet.stopped.remove(paused);
        fleet.runMillis(10_000);
        assertEquals(fleet.deaths, 0);
    }

    @Test
    public void aServersMarkReachesEveryHostAndTheLatestWins() {
        SteppedFleet fleet = joined(45, 8);
        PlatformMark late = new PlatformMark(PlatformMark.Kind.SERVER, "suva-a-1", true, 9);
        fleet.act(SteppedFleet.id(0), new MembershipEvent.Marked(late));
        PlatformMark early = new PlatformMark(PlatformMark.Kind.SERVER, "suva-a-1", false, 8);
        fleet.act(SteppedFleet.id(9), new MembershipEvent.Marked(early));
        fleet.runMillis(LEAVING_MILLIS);
        for (Membership host : fleet.hosts.values()) {
            assertEquals(host.marks(), java.util.List.of(late));
        }
    }
}
