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
 * Guards against a call that never runs: its claim was not written in time, the caller got "not
 * run", and the resend at another host must run although the first host is no longer reachable.
 */
public class AbandonedClaimTest {
    private static final Outcome STORE_UNAVAILABLE =
            new Outcome.NotRun(NotRunReason.STORE_AWAY, 1_000);
    private static final Outcome ANSWERED = new Outcome.Answered(0, Payload.of("k"));

    private FakeFleet fleet;

    @BeforeMethod
    void makeFleet() {
        fleet = new FakeFleet(1);
        fleet.tick(20);
        fleet.settle();
    }

    /** Returns the host that writes the claims for the key "k". */
    private Node writer() {
        Node receiver = fleet.nodes.getFirst();
        fleet.send(receiver, fleet.call(receiver, "k", false, 1));
        Optional<HostId> claimWriter =
                fleet.inFlight.stream()
                        .filter(AbandonedClaimTest::isClaimRequest)
                        .map(delivery -> delivery.to().id)
                        .findFirst();
        makeFleet();
        HostId id = claimWriter.orElse(receiver.id);
        return fleet.nodes.stream().filter(node -> node.id.equals(id)).findFirst().orElseThrow();
    }

    private static boolean isClaimRequest(FakeFleet.Delivery delivery) {
        return delivery.event() instanceof HostEvent.RequestReceived received
                && received.message() instanceof RequestMessage.ClaimRequested;
    }

    private Node nodeOtherThan(Node... excluded) {
        Set<Node> excludedNodes = Set.of(excluded);
        return fleet.nodes.stream()
                .filter(node -> !excludedNodes.contains(node))
                .findFirst()
                .orElseThrow();
    }

    private void deliverAll() {
        while (!fleet.inFlight.isEmpty()) {
            fleet.deliver(0);
        }
    }

    /** Advances the clock until a call is answered, without answering store calls. */
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

    private int unrepeatableRuns() {
        return fleet.invariants.unrepeatableRuns(new RequestKey(FakeFleet.WORKSPACE, "k"));
    }

    @Test
    public void resendRunsWhenTheWriterPausedAndTheFirstHostIsDeclaredDead() {
        Node writer = writer();
        int number = fleet.nodes.indexOf(writer);
        Node first = fleet.nodes.get((number + 1) % 3);
        Node other = fleet.nodes.get((number + 2) % 3);
        writer.paused = true;
        RequestId call = fleet.send(first, fleet.call(first, "k", false, 10_000));
        assertTrue(fleet.inFlight.stream().anyMatch(AbandonedClaimTest::isClaimRequest));
        awaitOutcome(call);
        assertEquals(fleet.outcome(call), STORE_UNAVAILABLE);
        fleet.storeCalls.clear();
        first.paused = true;
        writer.paused = false;
        fleet.settle();
        fleet.feed(other, new HostEvent.FleetChanged(fleet.snapshot(Set.of(first.id))));
        assertEquals(resend(other), ANSWERED);
        assertEquals(unrepeatableRuns(), 1);
    }

    @Test
    public void resendRunsWhenTheClaimWriteWasUnconfirmedBeforeTheFirstHostDrained() {
        Node first = writer();
        Node other = nodeOtherThan(first);
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
        assertEquals(fleet.outcome(call), STORE_UNAVAILABLE);
        fleet.feed(first, new HostEvent.DrainRequested());
        assertTrue(fleet.drained.isEmpty(), "drained while its claim may be in the store");
        for (int i = 0; i < 100 && fleet.drained.isEmpty(); i++) {
            fleet.settle();
            fleet.tick(20);
        }
        assertFalse(fleet.drained.isEmpty());
        fleet.crash(first);
        fleet.publishFleet(Set.of(first.id));
        assertEquals(resend(other), ANSWERED);
        assertEquals(unrepeatableRuns(), 1);
    }
}
