package org.orioleshed.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.orioleshed.model.HostId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of {@link Membership} on a simulated clock, at fleet sizes from 8 to 400 hosts: failure
 * detection, propagation times, bandwidth, message loss, partitions and restarts.
 */
public class MembershipTest {
    private static final long JOIN_LIMIT_MILLIS = 20_000;
    private static final long LEAVING_LIMIT_MILLIS = 2_000;
    private static final long DETECTION_LIMIT_MILLIS = 10_000;
    private static final long HEAL_LIMIT_MILLIS = 20_000;
    private static final double MAX_BYTES_PER_SECOND = 9_000;

    @DataProvider
    Object[][] sizes() {
        return new Object[][] {{8}, {45}, {133}, {400}};
    }

    private static SteppedFleet joinedFleet(int size, long seed) {
        SteppedFleet fleet = new SteppedFleet(size, seed);
        fleet.runUntil(() -> fleet.allSee(size), JOIN_LIMIT_MILLIS);
        assertTrue(fleet.allSee(size));
        fleet.runMillis(15_000);
        return fleet;
    }

    @Test(dataProvider = "sizes")
    public void deadHostIsRemovedFromEveryView(int size) {
        SteppedFleet fleet = joinedFleet(size, 1);
        fleet.stopped.add(SteppedFleet.id(3));
        long millis = fleet.runUntil(() -> fleet.allSee(size - 1), DETECTION_LIMIT_MILLIS);
        System.out.printf("hosts=%d detectionMillis=%d%n", size, millis);
        assertTrue(fleet.allSee(size - 1));
    }

    @Test(dataProvider = "sizes")
    public void leavingFlagReachesEveryHostWithinTwoSeconds(int size) {
        SteppedFleet fleet = joinedFleet(size, 2);
        HostId leavingHost = SteppedFleet.id(5);
        fleet.apply(leavingHost, new MembershipEvent.LeaveRequested());
        long millis = fleet.runUntil(() -> fleet.allSeeLeaving(leavingHost), LEAVING_LIMIT_MILLIS);
        System.out.printf("hosts=%d leavingMillis=%d%n", size, millis);
        assertTrue(fleet.allSeeLeaving(leavingHost));
    }

    @Test(dataProvider = "sizes")
    public void idleFleetStaysWithinItsBandwidthBudget(int size) {
        SteppedFleet fleet = joinedFleet(size, 3);
        fleet.bytesSent.clear();
        fleet.runMillis(10_000);
        long maxBytesSent =
                fleet.bytesSent.values().stream().mapToLong(Long::longValue).max().orElse(0);
        System.out.printf("hosts=%d bytesPerSecond=%d%n", size, maxBytesSent / 10);
        assertTrue(maxBytesSent / 10.0 <= MAX_BYTES_PER_SECOND);
        assertEquals(fleet.deaths, 0);
    }

    @Test(dataProvider = "sizes")
    public void noLiveHostIsDeclaredDeadAtFivePercentMessageLoss(int size) {
        SteppedFleet fleet = joinedFleet(size, 4);
        fleet.lossProbability = 0.05;
        fleet.runMillis(60_000);
        assertEquals(fleet.deaths, 0);
    }

    @Test(dataProvider = "sizes")
    public void viewsDivergeInAPartitionAndConvergeAfterIt(int size) {
        SteppedFleet fleet = joinedFleet(size, 5);
        Map<HostId, Boolean> inFirstPartition = new HashMap<>();
        for (int i = 0; i < size; i++) {
            inFirstPartition.put(SteppedFleet.id(i), i % 4 == 0);
        }
        fleet.isPartitioned =
                (from, to) -> !inFirstPartition.get(from).equals(inFirstPartition.get(to));
        fleet.runMillis(30_000);
        assertEquals(fleet.hosts.get(SteppedFleet.id(0)).members().size(), Math.ceilDiv(size, 4));
        fleet.isPartitioned = (from, to) -> false;
        long millis = fleet.runUntil(() -> fleet.allSee(size), HEAL_LIMIT_MILLIS);
        System.out.printf("hosts=%d healMillis=%d%n", size, millis);
        assertTrue(fleet.allSee(size));
    }

    @Test
    public void restartedHostRejoinsAndIsNoLongerLeaving() {
        SteppedFleet fleet = joinedFleet(8, 6);
        fleet.apply(SteppedFleet.id(2), new MembershipEvent.LeaveRequested());
        fleet.runMillis(LEAVING_LIMIT_MILLIS);
        fleet.start(2, 2);
        fleet.runUntil(() -> !fleet.allSeeLeaving(SteppedFleet.id(2)), HEAL_LIMIT_MILLIS);
        fleet.runMillis(LEAVING_LIMIT_MILLIS);
        for (Membership host : fleet.hosts.values()) {
            assertTrue(host.members().stream().noneMatch(Member::leaving));
        }
    }

    @Test
    public void hostResumedAfterAPauseDeclaresNobodyDead() {
        SteppedFleet fleet = joinedFleet(8, 7);
        HostId paused = SteppedFleet.id(1);
        fleet.stopped.add(paused);
        fleet.runMillis(1_500);
        fleet.stopped.remove(paused);
        fleet.runMillis(10_000);
        assertEquals(fleet.deaths, 0);
    }

    @Test
    public void serverMarkReachesEveryHostAndTheHighestRevisionWins() {
        SteppedFleet fleet = joinedFleet(45, 8);
        PlatformMark newer = new PlatformMark(PlatformMark.Kind.SERVER, "suva-a-1", true, 9);
        fleet.apply(SteppedFleet.id(0), new MembershipEvent.Marked(newer));
        PlatformMark older = new PlatformMark(PlatformMark.Kind.SERVER, "suva-a-1", false, 8);
        fleet.apply(SteppedFleet.id(9), new MembershipEvent.Marked(older));
        fleet.runMillis(LEAVING_LIMIT_MILLIS);
        for (Membership host : fleet.hosts.values()) {
            assertEquals(host.marks(), java.util.List.of(newer));
        }
    }
}
