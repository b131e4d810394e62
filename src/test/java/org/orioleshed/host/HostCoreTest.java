package org.orioleshed.host;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.host.FakeFleet.Node;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.Payload;
import org.orioleshed.model.RequestId;
import org.orioleshed.model.RequestKey;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.Tier;
import org.orioleshed.request.RequestStatus;
import org.orioleshed.routing.RoutingMessage;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against requests that run twice, lose their answer or get a false "not run" when one fault
 * occurs: a lost message, a dead or restarted host, an unavailable store, a drain.
 */
public class HostCoreTest {
    private FakeFleet fleet;
    private Node host;

    @BeforeMethod
    void makeFleet() {
        fleet = new FakeFleet(1);
        host = fleet.nodes.getFirst();
        fleet.tick(20);
        fleet.settle();
    }

    private static RequestKey key(String key) {
        return new RequestKey(FakeFleet.WORKSPACE, key);
    }

    private void advanceMillis(int millis) {
        for (int i = 0; i < millis; i += 20) {
            fleet.settle();
            fleet.tick(20);
        }
    }

    @DataProvider
    Object[][] workKinds() {
        return new Object[][] {{0}, {1}, {2}};
    }

    @Test(dataProvider = "workKinds")
    public void answersWhenNothingFails(int work) {
        RequestId id =
                switch (work) {
                    case 0 -> fleet.send(host, fleet.generate(host, "k", "x", Tier.URGENT, 10_000));
                    case 1 -> fleet.send(host, fleet.call(host, "k", true, 10_000));
                    default -> fleet.send(host, fleet.call(host, "k", false, 10_000));
                };
        fleet.finish();
        assertTrue(fleet.outcome(id) instanceof Outcome.Answered, "" + fleet.outcome(id));
    }

    @Test
    public void resendOfUnrepeatableCallGetsTheRecordedAnswerAtAnotherHost() {
        fleet.send(host, fleet.call(host, "k", false, 10_000));
        fleet.finish();
        Node other = fleet.nodes.get(1);
        RequestId resend = fleet.send(other, fleet.call(other, "k", false, 10_000));
        fleet.finish();
        assertEquals(fleet.outcome(resend), new Outcome.Answered(0, Payload.of("k")));
        assertEquals(fleet.invariants.unrepeatableRuns(key("k")), 1);
    }

    @Test
    public void resendAfterTheFirstHostDiedIsInDoubtWhenNoOutcomeWasRecorded() {
        fleet.send(host, fleet.call(host, "k", false, 10_000));
        fleet.settle();
        assertFalse(fleet.calls.isEmpty());
        fleet.crash(host);
        fleet.publishFleet(Set.of(host.id));
        Node other = fleet.nodes.get(1);
        RequestId resend = fleet.send(other, fleet.call(other, "k", false, 10_000));
        fleet.finish();
        assertTrue(fleet.outcome(resend) instanceof Outcome.InDoubt, "" + fleet.outcome(resend));
    }

    @Test
    public void resendAfterInDoubtGetsTheOutcomeRecordedMeanwhile() {
        fleet.send(host, fleet.call(host, "k", false, 30_000));
        fleet.settle();
        Node other = fleet.nodes.get(1);
        RequestId early = fleet.send(other, fleet.call(other, "k", false, 500));
        for (int i = 0; i < 40; i++) {
            fleet.settle();
            fleet.tick(20);
        }
        assertTrue(fleet.outcome(early) instanceof Outcome.InDoubt, "" + fleet.outcome(early));
        fleet.finish();
        RequestId later = fleet.send(other, fleet.call(other, "k", false, 10_000));
        fleet.finish();
        assertEquals(fleet.outcome(later), new Outcome.Answered(0, Payload.of("k")));
        assertEquals(fleet.invariants.unrepeatableRuns(key("k")), 1);
    }

    @Test
    public void unrepeatableCallIsAnsweredNotRunPromptlyWhileTheStoreIsUnavailable() {
        RequestId call = fleet.send(host, fleet.call(host, "k", false, 10_000));
        RequestId model = fleet.send(host, fleet.generate(host, "m", "x", Tier.URGENT, 10_000));
        for (int i = 0; i < 60 && fleet.outcome(call) == null; i++) {
            while (!fleet.inFlight.isEmpty()) {
                fleet.deliver(0);
            }
            while (!fleet.storeCalls.isEmpty()) {
                fleet.answerStore(0, 2);
            }
            fleet.tick(20);
        }
        assertEquals(
                fleet.outcome(call), new Outcome.NotRun(Outcome.NotRunReason.STORE_AWAY, 1_000));
        fleet.finish();
        assertTrue(fleet.outcome(model) instanceof Outcome.Answered);
        RequestId again = fleet.send(host, fleet.call(host, "k", false, 10_000));
        fleet.finish();
        assertTrue(fleet.outcome(again) instanceof Outcome.Answered, "" + fleet.outcome(again));
    }

    @Test
    public void modelRequestResumesElsewhereWhenItsOwnerIsGone() {
        Node accepting = fleet.nodes.get(1);
        BackendServer other = fleet.servers.remove(new ServerId("m2"));
        fleet.publishFleet(Set.of());
        RequestId id =
                fleet.send(accepting, fleet.generate(accepting, "k", "x", Tier.URGENT, 20_000));
        fleet.settle();
        fleet.stepEngine(0);
        fleet.settle();
        assertEquals(fleet.invariants.tokens(id), 1);
        fleet.crash(host);
        fleet.servers.put(other.id(), other);
        fleet.publishFleet(Set.of(host.id));
        fleet.finish();
        assertTrue(fleet.outcome(id) instanceof Outcome.Answered, "" + fleet.outcome(id));
    }

    @DataProvider
    Object[][] keysAndHosts() {
        List<Object[]> cases = new ArrayList<>();
        for (int key = 0; key < 8; key++) {
            cases.add(new Object[] {"k" + key, key % 3, (key + 1) % 3});
        }
        return cases.toArray(Object[][]::new);
    }

    /** Covers keys whose entry is kept by the dead host and keys whose entry is kept by others. */
    @Test(dataProvider = "keysAndHosts")
    public void resendDoesNotRunWhileARunOfADeadHostIsLive(String key, int first, int second) {
        Node dead = fleet.nodes.get(first);
        Node other = fleet.nodes.get(second);
        fleet.send(dead, fleet.generate(dead, key, "x", Tier.URGENT, 20_000));
        fleet.settle();
        assertEquals(fleet.engines.live.size(), 1);
        fleet.crash(dead);
        RequestId resend = fleet.send(other, fleet.generate(other, key, "x", Tier.URGENT, 20_000));
        for (int i = 0; i < 50; i++) {
            fleet.settle();
            fleet.tick(20);
            assertTrue(fleet.engines.live.size() <= 1, "runs: " + fleet.engines.live.keySet());
        }
        fleet.publishFleet(Set.of(dead.id));
        fleet.finish();
        assertTrue(fleet.outcome(resend) instanceof Outcome.Answered, "" + fleet.outcome(resend));
    }

    @Test
    public void runIsCancelledWhenItsCallerLeaves() {
        RequestId id = fleet.send(host, fleet.generate(host, "k", "x", Tier.URGENT, 20_000));
        fleet.settle();
        assertEquals(fleet.engines.live.size(), 1);
        fleet.invariants.callerLeft(id);
        fleet.feed(host, new HostEvent.CallerGone(id));
        fleet.settle();
        assertEquals(fleet.engines.live.size(), 0);
    }

    @Test
    public void drainRefusesNewRequestsAndFinishesRunningOnes() {
        RequestId runs = fleet.send(host, fleet.generate(host, "k", "x", Tier.URGENT, 20_000));
        fleet.settle();
        fleet.feed(host, new HostEvent.DrainRequested());
        RequestId late = fleet.send(host, fleet.generate(host, "l", "y", Tier.URGENT, 20_000));
        assertEquals(fleet.outcome(late), new Outcome.NotRun(Outcome.NotRunReason.DRAINING, 0));
        assertTrue(fleet.drained.isEmpty());
        fleet.finish();
        assertTrue(fleet.outcome(runs) instanceof Outcome.Answered, "" + fleet.outcome(runs));
        assertEquals(fleet.drained.size(), 1);
    }

    @Test(dataProvider = "workKinds")
    public void requestStillRunningAtDrainTimeoutGetsItsOutcome(int work) {
        RequestId id =
                switch (work) {
                    case 0 -> fleet.send(host, fleet.generate(host, "k", "x", Tier.URGENT, 60_000));
                    case 1 -> fleet.send(host, fleet.call(host, "k", true, 60_000));
                    default -> fleet.send(host, fleet.call(host, "k", false, 60_000));
                };
        fleet.settle();
        fleet.feed(host, new HostEvent.DrainRequested());
        assertNull(fleet.outcome(id));
        fleet.feed(host, new HostEvent.DrainTimedOut());
        Class<?> expected = work == 2 ? Outcome.InDoubt.class : Outcome.Failed.class;
        assertTrue(expected.isInstance(fleet.outcome(id)), "" + fleet.outcome(id));
    }

    @DataProvider
    Object[][] drains() {
        return new Object[][] {{10_000, 200}, {60_000, 800}};
    }

    /** The draining host has only the record that another host sent the call. */
    @Test(dataProvider = "drains")
    public void drainDoesNotAnswerNotRunForACallThatRunsAtAnotherHost(
            int deadlineMillis, int waitMillis) {
        fleet.send(host, fleet.call(host, "k", false, deadlineMillis));
        fleet.settle();
        assertEquals(fleet.calls.size(), 1);
        Node other = fleet.nodes.get(1);
        RequestId resend = fleet.send(other, fleet.call(other, "k", false, deadlineMillis));
        advanceMillis(waitMillis);
        fleet.feed(other, new HostEvent.DrainRequested());
        assertFalse(fleet.outcome(resend) instanceof Outcome.NotRun, "" + fleet.outcome(resend));
        fleet.finish();
        assertEquals(fleet.outcome(resend), new Outcome.Answered(0, Payload.of("k")));
        assertEquals(fleet.drained.size(), 1);
    }

    @Test
    public void callThatRunsAtAnotherHostIsInDoubtWhenItsDeadlinePassesFirst() {
        fleet.send(host, fleet.call(host, "k", false, 10_000));
        fleet.settle();
        Node other = fleet.nodes.get(1);
        RequestId resend = fleet.send(other, fleet.call(other, "k", false, 300));
        advanceMillis(200);
        fleet.feed(other, new HostEvent.DrainRequested());
        advanceMillis(200);
        assertTrue(fleet.outcome(resend) instanceof Outcome.InDoubt, "" + fleet.outcome(resend));
    }

    @Test
    public void statusOfACallThatRunsAtAnotherHostIsNotNotRunAfterItsCallerLeft() {
        fleet.send(host, fleet.call(host, "k", false, 10_000));
        fleet.settle();
        Node other = fleet.nodes.get(1);
        RequestId resend = fleet.send(other, fleet.call(other, "k", false, 10_000));
        advanceMillis(200);
        fleet.invariants.callerLeft(resend);
        fleet.feed(other, new HostEvent.CallerGone(resend));
        fleet.feed(other, new HostEvent.StatusRequested(7, key("k")));
        fleet.settle();
        assertEquals(fleet.statuses.get(7L), new RequestStatus.Pending());
    }

    @Test
    public void statusOfAnAnsweredCallIsNotNotRunWhereItsResendWasNotRun() {
        fleet.send(host, fleet.call(host, "k", false, 10_000));
        fleet.finish();
        Node other = fleet.nodes.get(1);
        RequestId resend = fleet.send(other, fleet.call(other, "k", false, 10_000));
        fleet.invariants.callerLeft(resend);
        fleet.feed(other, new HostEvent.CallerGone(resend));
        fleet.feed(other, new HostEvent.StatusRequested(7, key("k")));
        advanceMillis(200);
        Outcome answered = new Outcome.Answered(0, Payload.of("k"));
        assertEquals(fleet.statuses.get(7L), new RequestStatus.Final(answered));
    }

    @Test
    public void statusOfACallThatNoHostRanIsNotRun() {
        RequestId call = fleet.send(host, fleet.call(host, "k", false, 10_000));
        fleet.invariants.callerLeft(call);
        fleet.feed(host, new HostEvent.CallerGone(call));
        fleet.feed(host, new HostEvent.StatusRequested(7, key("k")));
        advanceMillis(1_000);
        Outcome notRun = new Outcome.NotRun(Outcome.NotRunReason.CALLER_GONE, 0);
        assertEquals(fleet.statuses.get(7L), new RequestStatus.Final(notRun));
    }

    @Test
    public void statusIsUnknownWhereACallWasNotRunWhileTheStoreIsUnavailable() {
        fleet.send(host, fleet.call(host, "k", false, 10_000));
        fleet.finish();
        Node other = fleet.nodes.get(1);
        RequestId resend = fleet.send(other, fleet.call(other, "k", false, 10_000));
        fleet.invariants.callerLeft(resend);
        fleet.feed(other, new HostEvent.CallerGone(resend));
        fleet.feed(other, new HostEvent.StatusRequested(7, key("k")));
        for (int i = 0; i < 100 && fleet.statuses.isEmpty(); i++) {
            while (!fleet.inFlight.isEmpty()) {
                fleet.deliver(0);
            }
            while (!fleet.storeCalls.isEmpty()) {
                fleet.answerStore(0, 2);
            }
            fleet.tick(20);
        }
        assertEquals(fleet.statuses.get(7L), new RequestStatus.Unknown());
    }

    @Test
    public void resendJoinsTheRunningRequestOnItsHost() {
        RequestId first = fleet.send(host, fleet.generate(host, "k", "x", Tier.URGENT, 20_000));
        fleet.settle();
        fleet.stepEngine(0);
        fleet.settle();
        RequestId second = fleet.send(host, fleet.generate(host, "k", "x", Tier.URGENT, 20_000));
        fleet.finish();
        assertTrue(fleet.outcome(first) instanceof Outcome.Answered);
        assertTrue(fleet.outcome(second) instanceof Outcome.Answered);
        assertEquals(fleet.engines.started.size(), 1);
    }

    @Test
    public void resendAtAnotherHostWaitsForTheRunningRequestAndGetsItsAnswer() {
        RequestId first = fleet.send(host, fleet.generate(host, "k", "x", Tier.URGENT, 20_000));
        fleet.settle();
        Node other = fleet.nodes.get(1);
        RequestId second = fleet.send(other, fleet.generate(other, "k", "x", Tier.URGENT, 20_000));
        fleet.finish();
        assertTrue(fleet.outcome(first) instanceof Outcome.Answered);
        assertTrue(fleet.outcome(second) instanceof Outcome.Answered, "" + fleet.outcome(second));
        assertEquals(fleet.engines.started.size(), 1);
    }

    @Test
    public void expiredRequestIsNotAnsweredNotRunWhileAnotherWaitsWithTheSameKey() {
        Map<ServerId, BackendServer> servers = Map.copyOf(fleet.servers);
        fleet.servers.clear();
        fleet.publishFleet(Set.of());
        RequestId late = fleet.send(host, fleet.generate(host, "k", "x", Tier.URGENT, 100));
        RequestId other = fleet.send(host, fleet.generate(host, "k", "x", Tier.URGENT, 9_000));
        fleet.tick(200);
        assertTrue(fleet.outcome(late) instanceof Outcome.InDoubt, "" + fleet.outcome(late));
        fleet.servers.putAll(servers);
        fleet.publishFleet(Set.of());
        fleet.finish();
        assertTrue(fleet.outcome(other) instanceof Outcome.Answered, "" + fleet.outcome(other));
    }

    @DataProvider
    Object[][] lostMessages() {
        return new Object[][] {
            {RoutingMessage.Offered.class},
            {RoutingMessage.Granted.class},
            {RoutingMessage.Placed.class},
            {RoutingMessage.Tokens.class},
            {RoutingMessage.Ended.class}
        };
    }

    @Test(dataProvider = "lostMessages")
    public void requestIsAnsweredWithinSecondsWhenOneMessageIsLost(Class<?> kind) {
        Node accepting = fleet.nodes.get(1);
        fleet.servers.remove(new ServerId("m2"));
        fleet.publishFleet(Set.of());
        RequestId id =
                fleet.send(accepting, fleet.generate(accepting, "k", "x", Tier.URGENT, 30_000));
        long start = fleet.nowNanos;
        boolean lost = false;
        while (fleet.outcome(id) == null) {
            if (!lost) {
                lost = fleet.inFlight.removeIf(d -> isRouting(d.event(), kind));
            }
            if (!fleet.inFlight.isEmpty()) {
                fleet.deliver(0);
            } else if (!fleet.engines.live.isEmpty()) {
                fleet.stepEngine(0);
            } else {
                fleet.tick(20);
            }
        }
        assertTrue(lost);
        assertTrue(fleet.outcome(id) instanceof Outcome.Answered, "" + fleet.outcome(id));
        assertTrue(fleet.nowNanos - start < 6_000_000_000L, "" + (fleet.nowNanos - start));
    }

    /** Peers resend a body whose receipt was not confirmed, also to a restarted process. */
    @Test
    public void requestIsNotAnsweredNotRunWhenTheRestartedOwnerReceivesItsBodyAgain() {
        Node accepting = fleet.nodes.get(1);
        fleet.servers.remove(new ServerId("m2"));
        fleet.publishFleet(Set.of());
        RequestId id =
                fleet.send(accepting, fleet.generate(accepting, "k", "x", Tier.URGENT, 20_000));
        while (!isRouting(fleet.inFlight.getFirst().event(), RoutingMessage.Placed.class)) {
            fleet.deliver(0);
        }
        HostEvent body = fleet.inFlight.getFirst().event();
        fleet.settle();
        assertEquals(fleet.engines.live.size(), 1);
        fleet.crash(host);
        fleet.restart(host);
        fleet.feed(host, body);
        fleet.settle();
        fleet.feed(accepting, new HostEvent.DrainRequested());
        fleet.finish();
        assertTrue(fleet.outcome(id) instanceof Outcome.Answered, "" + fleet.outcome(id));
    }

    /** The owner of the run restarts, requests the body again, and receives it too late. */
    @Test
    public void requestIsNotAnsweredNotRunWhenOnlyItsResentBodyWasNeverStarted() {
        Node accepting = fleet.nodes.get(1);
        fleet.servers.remove(new ServerId("m2"));
        fleet.publishFleet(Set.of());
        RequestId id =
                fleet.send(accepting, fleet.generate(accepting, "k", "x", Tier.URGENT, 20_000));
        fleet.settle();
        assertEquals(fleet.engines.live.size(), 1);
        fleet.crash(host);
        fleet.restart(host);
        for (int i = 0; i < 200 && !bodyIsNext(); i++) {
            if (fleet.inFlight.isEmpty()) {
                fleet.tick(20);
            } else {
                fleet.deliver(0);
            }
        }
        assertTrue(bodyIsNext());
        fleet.tick(2_000);
        fleet.settle();
        fleet.feed(accepting, new HostEvent.DrainRequested());
        fleet.finish();
        assertTrue(fleet.outcome(id) instanceof Outcome.Answered, "" + fleet.outcome(id));
    }

    private boolean bodyIsNext() {
        return !fleet.inFlight.isEmpty()
                && isRouting(fleet.inFlight.getFirst().event(), RoutingMessage.Placed.class);
    }

    private static boolean isRouting(HostEvent event, Class<?> kind) {
        return event instanceof HostEvent.RoutingReceived received
                && kind.isInstance(received.message());
    }
}
