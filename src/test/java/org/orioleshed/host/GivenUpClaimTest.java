package org.orioleshed.host;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import java.util.Set;
import org.orioleshed.host.FakeFleet.Node;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.Outcome.NotRunReason;
import org.orioleshed.model.Payload;
import org.orioleshed.model.RequestId;
import org.orioleshed.model.RequestKey;
import org.orioleshed.request.RequestMessage;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests of {@link HostCore}: a call whose claim was not written in time is "not run", and its
 * resend at another host runs, also when the first host can't be asked any more.
 */
public class GivenUpClaimTest {
    private static final Outcome STORE_AWAY = new Outcome.NotRun(NotRunReason.STORE_AWAY, 1_000);
    private static final Outcome ANSWERED = new Outcome.Answered(0, Payload.of("k"));

    private FakeFleet fleet;

    @BeforeMethod
    void makeFleet() {
        fleet = new FakeFleet(1);
        fleet.tick(20);
        fleet.settle();
    }

    /** Returns the host that writes the claims on the key "k". */
    private Node writer() {
        Node asker = fleet.nodes.getFirst();
        fleet.send(asker, fleet.call(asker, "k", false, 1));
        Optional<HostId> asked =
                fleet.underWay.stream()
                        .filter(GivenUpClaimTest::asksForAClaim)
                        .map(delivery -> delivery.to().id)
                        .findFirst();
        makeFleet();
        HostId id = asked.orElse(asker.id);
        return fleet.nodes.stream().filter(node -> node.id.equals(id)).findFirst().orElseThrow();
    }

    private static boolean asksForAClaim(FakeFleet.Delivery delivery) {
        return delivery.event() instanceof HostEvent.RequestReceived received
                && received.message() instanceof RequestMessage.ClaimRequested;
    }

    private Node besides(Node... known) {
        Set<Node> all = Set.of(known);
        return fleet.nodes.stream().filter(node -> !all.contains(node)).findFirst().orElseThrow();
    }

    private void deliverAll() {
        while (!fleet.underWay.isEmpty()) {
            fleet.deliver(0);
        }
    }

    /** Lets time pass until a call is answered; no call on the store is answered meanwhile. */
    private void awaitOutcome(RequestId call) {
        for (int i = 0; i < 100 && fleet.outcome(call) == null; i++) {
            fleet.tick(20);
        }
    }

    private Outcome resend(Node at) {
        RequestId resend = fleet.send(at, fleet.call(at, "k", false, 10_000));
        for (int i = 0; i < 100 && fleet.outcome(resend) == null; i++) {
            fleet.settle();
            while (!fleet.calls.isEmpty()) {
                fleet.endCall(0, 0);
            }
            fleet.tick(20);
        }
        return fleet.outcome(resend);
    }

    private int runs() {
        return fleet.promises.unrepeatableRuns(new RequestKey(FakeFleet.WORKSPACE, "k"));
    }

    @Test
    public void resendRunsWhenTheWriterStoodStillAndTheFirstHostIsHeldForDead() {
        Node writer = writer();
        int number = fleet.nodes.indexOf(writer);
        Node first = fleet.nodes.get((number + 1) % 3);
        Node other = fleet.nodes.get((number + 2) % 3);
        writer.paused = true;
        RequestId call = fleet.send(first, fleet.call(first, "k", false, 10_000));
        assertTrue(fleet.underWay.stream().anyMatch(GivenUpClaimTest::asksForAClaim));
        awaitOutcome(call);
        assertEquals(fleet.outcome(call), STORE_AWAY);
        fleet.storeCalls.clear();
        first.paused = true;
        writer.paused = false;
        fleet.settle();
        fleet.feed(other, new HostEvent.FleetChanged(fleet.snapshot(Set.of(first.id))));
        assertEquals(resend(other), ANSWERED);
        assertEquals(runs(), 1);
    }

    @Test
    public void resendRunsWhenTheClaimLandedUnheardOfBeforeTheFirstHostLeft() {
        Node first = writer();
        Node other = besides(first);
        RequestId call = fleet.send(first, fleet.call(first, "k", false, 10_000));
        fleet.answerStore(0, 0);
        deliverAll();
        fleet.answerStore(0, 1);
        deliverAll();
        for (int i = 0; i < 100 && fleet.outcome(call) == null; i++) {
            fleet.tick(20);
            while (!fleet.storeCalls.isEmpty()) {
                fleet.answerStore(0, 2);
            }
            deliverAll();
        }
        assertEquals(fleet.outcome(call), STORE_AWAY);
        fleet.feed(first, new HostEvent.DrainRequested());
        assertTrue(fleet.drained.isEmpty(), "left while its claim may stand in the store");
        for (int i = 0; i < 100 && fleet.drained.isEmpty(); i++) {
            fleet.settle();
            fleet.tick(20);
        }
        assertFalse(fleet.drained.isEmpty());
        fleet.crash(first);
        fleet.publishFleet(Set.of(first.id));
        assertEquals(resend(other), ANSWERED);
        assertEquals(runs(), 1);
    }
}
