package org.orioleshed.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.gateway.ServerReachability.Action;
import org.orioleshed.gateway.ServerReachability.Event;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.ServiceId;
import org.orioleshed.model.VersionId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Stepped tests of {@link ServerReachability}: the test answers the trials. */
public class ServerReachabilityTest {
    private static final ServiceId POOL = new ServiceId("pool");
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int STEP_MILLIS = 50;
    private static final FailureDomain OWN = new FailureDomain("own");

    /** A connection attempt that hangs fails after this many steps. */
    private static final int HANG_STEPS = 6;

    private final Set<ServerId> broken = new HashSet<>();
    private ServerReachability reachability;
    private List<PoolServer> servers;
    private List<Pending> trials;
    private List<Action> decisions;
    private long nowNanos;
    private int maxTrials;
    private int trialCount;

    private record Pending(ServerId server, long dueNanos) {}

    private void start(int count) {
        start(count, List.of(new FailureDomain("z")));
    }

    private void start(int count, List<FailureDomain> domains) {
        reachability = new ServerReachability(OWN);
        servers = new ArrayList<>();
        trials = new ArrayList<>();
        decisions = new ArrayList<>();
        broken.clear();
        maxTrials = 0;
        for (int i = 0; i < count; i++) {
            servers.add(
                    new PoolServer(
                            new ServerId("s" + i),
                            POOL,
                            new InetSocketAddress("10.0.0.1", 1_000 + i),
                            domains.get(i % domains.size()),
                            new VersionId("v"),
                            6,
                            false,
                            1));
        }
        send(new Event.ServersChanged(servers));
    }

    private void send(Event event) {
        for (Action action : reachability.on(nowNanos, event)) {
            if (action instanceof Action.Try trial) {
                trialCount++;
                boolean hangs = broken.contains(trial.server().id());
                long delayMillis = hangs ? HANG_STEPS * STEP_MILLIS : STEP_MILLIS;
                trials.add(
                        new Pending(trial.server().id(), nowNanos + delayMillis * NANOS_PER_MILLI));
            } else {
                decisions.add(action);
            }
        }
        maxTrials = Math.max(maxTrials, trials.size());
    }

    private void run(long millis) {
        long endNanos = nowNanos + millis * NANOS_PER_MILLI;
        while (nowNanos < endNanos) {
            nowNanos += STEP_MILLIS * NANOS_PER_MILLI;
            for (Pending trial : List.copyOf(trials)) {
                if (trial.dueNanos <= nowNanos) {
                    trials.remove(trial);
                    send(new Event.TrialEnded(trial.server, !broken.contains(trial.server)));
                }
            }
            send(new Event.Tick());
        }
    }

    private void breakServers(int count) {
        servers.subList(0, count).forEach(server -> broken.add(server.id()));
    }

    private static ServerId id(int index) {
        return new ServerId("s" + index);
    }

    @DataProvider
    Object[][] sizes() {
        return new Object[][] {{1}, {2}, {5}, {78}};
    }

    /** Guards against a partition that is noticed only when every server was tried by requests. */
    @Test(dataProvider = "sizes")
    public void oneFailureLeadsToTheLossOfThePoolWithinASecond(int count) {
        start(count);
        breakServers(count);
        send(new Event.ConnectFailed(id(0)));
        run(1_000);
        assertTrue(reachability.mustForward(POOL));
        assertEquals(decisions.size(), 1);
        assertTrue(maxTrials <= 8, "trials " + maxTrials);
    }

    /** Guards against forwarding that ends, or goes on, without evidence. */
    @Test(dataProvider = "sizes")
    public void onlyTrialsEndTheLoss(int count) {
        start(count);
        breakServers(count);
        send(new Event.ConnectFailed(id(0)));
        run(20_000);
        assertTrue(reachability.mustForward(POOL));
        broken.clear();
        run(1_500);
        assertFalse(reachability.mustForward(POOL));
        assertEquals(decisions.size(), 2);
    }

    /** Guards against forwarding because single servers crash. */
    @Test
    public void someFaultyServersAreNoLoss() {
        start(12);
        breakServers(3);
        for (int i = 0; i < 3; i++) {
            send(new Event.ConnectFailed(id(i)));
        }
        run(3_000);
        assertEquals(decisions, List.of());
        assertFalse(reachability.mustForward(POOL));
    }

    @DataProvider
    Object[][] serversPerDomain() {
        return new Object[][] {{1}, {2}, {15}};
    }

    /** Guards against forwarding by all hosts of a failure domain that is cut off from others. */
    @Test(dataProvider = "serversPerDomain")
    public void aPartitionBetweenDomainsIsNoLoss(int perDomain) {
        List<FailureDomain> domains = new ArrayList<>(List.of(OWN));
        for (int i = 1; i < 6; i++) {
            domains.add(new FailureDomain("d" + i));
        }
        start(6 * perDomain, domains);
        for (PoolServer server : servers) {
            if (!server.domain().equals(OWN)) {
                broken.add(server.id());
                send(new Event.ConnectFailed(server.id()));
            }
        }
        run(5_000);
        assertEquals(decisions, List.of());
        servers.forEach(server -> broken.add(server.id()));
        run(1_500);
        assertTrue(reachability.mustForward(POOL));
    }

    /** Guards against placements on servers that only this host can't reach. */
    @Test
    public void namesTheUnreachableHalf() {
        start(8);
        breakServers(4);
        send(new Event.ConnectFailed(id(0)));
        run(700);
        assertFalse(reachability.mustForward(POOL));
        assertEquals(reachability.unreachable(POOL, nowNanos), broken);
        broken.clear();
        run(1_500);
        assertEquals(reachability.unreachable(POOL, nowNanos), Set.of());
    }

    /** Guards against trials by a host whose servers respond, however slow one of them is. */
    @Test
    public void aSlowServerAmongOthersRaisesNoSuspicion() {
        start(4);
        for (int i = 0; i < 40; i++) {
            send(new Event.Responded(id(1)));
            send(new Event.AwaitsResponse(id(0)));
            run(100);
        }
        assertEquals(maxTrials, 0);
    }

    /** Guards against a flood of trials by hosts that reach their servers. */
    @Test
    public void aServerThatBreaksConnectionsGetsFewTrials() {
        start(12);
        int before = trialCount;
        for (int i = 0; i < 100; i++) {
            send(new Event.ConnectionBroken(id(0)));
            run(100);
        }
        assertTrue(trialCount - before <= 10, "trials " + trialCount);
        assertEquals(decisions, List.of());
    }

    /** Guards against hanging connections that never fail. */
    @Test
    public void silenceOfAllServersRaisesASuspicion() {
        start(4);
        breakServers(4);
        send(new Event.Responded(id(1)));
        run(400);
        send(new Event.AwaitsResponse(id(0)));
        run(800);
        assertTrue(reachability.mustForward(POOL));
    }

    /** Guards against work passed around while the servers are down for all hosts. */
    @Test
    public void aPoolThatIsDownElsewhereIsServedDirectly() {
        start(4);
        breakServers(4);
        send(new Event.ConnectFailed(id(0)));
        run(1_000);
        send(new Event.UnreachableElsewhere(POOL));
        assertFalse(reachability.mustForward(POOL));
        run(1_200);
        assertTrue(reachability.mustForward(POOL));
    }

    /** Guards against faults on results for servers that left meanwhile. */
    @Test
    public void resultsForServersThatLeftAreIgnored() {
        start(4);
        breakServers(4);
        send(new Event.ConnectFailed(id(0)));
        send(new Event.ServersChanged(List.of()));
        run(1_000);
        assertFalse(reachability.mustForward(POOL));
    }
}
