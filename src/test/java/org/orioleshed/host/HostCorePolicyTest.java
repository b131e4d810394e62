package org.orioleshed.host;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.orioleshed.fleet.Target;
import org.orioleshed.fleet.VersionSplit;
import org.orioleshed.host.FakeFleet.Node;
import org.orioleshed.model.ModelId;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.RequestId;
import org.orioleshed.model.RequestKey;
import org.orioleshed.model.RunId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.Tier;
import org.orioleshed.model.VersionId;
import org.orioleshed.request.RequestStatus;
import org.orioleshed.routing.RunEnd;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against urgent requests shed under load, requests lost to a bad version, and content that
 * crashes one server after another.
 */
public class HostCorePolicyTest {
    private FakeFleet fleet;
    private Node host;

    @BeforeMethod
    void makeFleet() {
        fleet = new FakeFleet(2);
        host = fleet.nodes.getFirst();
        fleet.tick(20);
        fleet.settle();
    }

    private RequestId send(String key, String content, Tier tier) {
        RequestId id = fleet.send(host, fleet.generate(host, key, content, tier, 30_000));
        fleet.settle();
        return id;
    }

    private void crashServerOf(RequestId request) {
        ServerId server = serverOf(request);
        fleet.engines.crash(server).forEach(run -> fleet.breakRun(run, true, true));
        fleet.settle();
    }

    private ServerId serverOf(RequestId request) {
        return fleet.engines.live.entrySet().stream()
                .filter(entry -> entry.getKey().request().equals(request))
                .map(entry -> entry.getValue().server)
                .findFirst()
                .orElseThrow();
    }

    private void awaitRun(RequestId request) {
        for (int i = 0; i < 200 && fleet.engines.liveRuns(request) == 0; i++) {
            fleet.tick(20);
            fleet.settle();
        }
    }

    @Test
    public void contentThatCrashedTwoServersIsQuarantinedOnAllHostsUnderAnyKey() {
        RequestId id = send("k", "bad", Tier.URGENT);
        crashServerOf(id);
        awaitRun(id);
        fleet.tick(6_000);
        crashServerOf(id);
        fleet.tick(2_000);
        fleet.settle();
        assertTrue(
                fleet.outcome(id) instanceof Outcome.Failed failed
                        && failed.reason() == Outcome.FailReason.POISON,
                "" + fleet.outcome(id));
        for (Node node : fleet.nodes) {
            RequestId again =
                    fleet.send(node, fleet.generate(node, "new", "bad", Tier.URGENT, 9_000));
            fleet.settle();
            assertEquals(fleet.outcome(again), new Outcome.NotRun(Outcome.NotRunReason.POISON, -1));
        }
        assertEquals(host.core.poison(fleet.nowNanos).size(), 1);
        fleet.execute(host, host.core.releasePoison(fleet.invariants.request(id).fingerprint()));
        fleet.settle();
        RequestId released = send("newer", "bad", Tier.URGENT);
        fleet.finish();
        assertTrue(fleet.outcome(released) instanceof Outcome.Answered);
    }

    @Test
    public void suspectedContentIsClearedWhenItSucceeds() {
        RequestId suspected = send("k", "good", Tier.URGENT);
        crashServerOf(suspected);
        assertEquals(host.core.poison(fleet.nowNanos).size(), 1);
        fleet.finish();
        assertTrue(fleet.outcome(suspected) instanceof Outcome.Answered);
        for (Node node : fleet.nodes) {
            assertEquals(node.core.poison(fleet.nowNanos), List.of());
        }
    }

    @Test
    public void requestRetriesOnOldVersionWhenNewVersionFailsBeforeAnyToken() {
        Target model = new Target.Model(new ModelId("letters"));
        fleet.addServer("m3", FakeFleet.DOMAINS.getFirst(), model, "v2", true);
        VersionSplit split = new VersionSplit(new VersionId("v1"), new VersionId("v2"), 1);
        fleet.splits.put(FakeFleet.MODEL_ROUTE, split);
        fleet.publishFleet(Set.of());
        RequestId id = send("k", "x", Tier.URGENT);
        assertEquals(serverOf(id), new ServerId("m3"));
        RunId run = fleet.engines.live.keySet().iterator().next();
        fleet.engines.live.remove(run);
        fleet.feed(
                owner(run),
                new HostEvent.RunEnded(
                        run, new ServerId("m3"), new RunEnd.EngineError(false, "bad version")));
        fleet.settle();
        awaitRun(id);
        assertFalse(serverOf(id).equals(new ServerId("m3")));
        fleet.finish();
        assertTrue(fleet.outcome(id) instanceof Outcome.Answered, "" + fleet.outcome(id));
    }

    private Node owner(RunId run) {
        return fleet.nodes.stream()
                .filter(n -> n.domain.equals(FakeFleet.DOMAINS.getFirst()))
                .findFirst()
                .orElseThrow(() -> new AssertionError("no owner for " + run));
    }

    @Test
    public void urgentRequestIsNotShedWhileLowerTiersRun() {
        List<RequestId> patient = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            patient.add(send("p" + i, "p" + i, Tier.PATIENT));
        }
        fleet.tick(20);
        fleet.settle();
        List<RequestId> urgent = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            urgent.add(send("u" + i, "u" + i, Tier.URGENT));
        }
        fleet.finish();
        urgent.forEach(id -> assertTrue(fleet.outcome(id) instanceof Outcome.Answered));
        patient.forEach(
                id ->
                        assertTrue(
                                fleet.outcome(id) instanceof Outcome.Answered,
                                "" + fleet.outcome(id)));
    }

    @Test
    public void workspaceOverItsLimitIsRefusedButItsUrgentWorkDisplacesPatientWork() {
        fleet.maxWaiting = 12;
        fleet.publishFleet(Set.of());
        List<RequestId> patient = new ArrayList<>();
        for (int i = 0; i < 13; i++) {
            patient.add(send("p" + i, "p" + i, Tier.PATIENT));
        }
        Outcome overLimit = new Outcome.NotRun(Outcome.NotRunReason.WORKSPACE_LIMIT, 2_000);
        assertEquals(fleet.outcome(patient.getLast()), overLimit);
        RequestId urgent = send("u", "u", Tier.URGENT);
        assertTrue(fleet.outcome(urgent) == null);
        fleet.finish();
        assertTrue(fleet.outcome(urgent) instanceof Outcome.Answered);
    }

    @Test
    public void leavingServersGetNoNewWork() {
        fleet.servers.replaceAll((id, server) -> server.withLeaving(id.value().endsWith("1")));
        fleet.publishFleet(Set.of());
        for (int i = 0; i < 8; i++) {
            send("k" + i, "x" + i, Tier.URGENT);
            fleet.send(host, fleet.call(host, "c" + i, true, 9_000));
        }
        fleet.engines.live.values().forEach(run -> assertEquals(run.server.value(), "m2"));
        fleet.calls.forEach(call -> assertEquals(call.action().server().value(), "s2"));
        assertFalse(fleet.calls.isEmpty());
        assertFalse(fleet.engines.live.isEmpty());
    }

    @Test
    public void requestWithoutAnyServerIsNotRun() {
        fleet.servers.clear();
        fleet.publishFleet(Set.of());
        RequestId id = send("k", "x", Tier.URGENT);
        fleet.tick(2_500);
        fleet.tick(2_500);
        assertEquals(fleet.outcome(id), new Outcome.NotRun(Outcome.NotRunReason.NO_SERVER, 2_000));
    }

    @Test
    public void statusIsFoundFromAnyHost() {
        RequestId id = send("k", "x", Tier.URGENT);
        Node other = fleet.nodes.get(2);
        fleet.feed(other, new HostEvent.StatusRequested(1, fleet.invariants.request(id).key()));
        fleet.settle();
        assertEquals(fleet.statuses.get(1L), new RequestStatus.Pending());
        fleet.finish();
        fleet.feed(other, new HostEvent.StatusRequested(2, fleet.invariants.request(id).key()));
        fleet.settle();
        assertEquals(fleet.statuses.get(2L), new RequestStatus.Final(fleet.outcome(id)));
        fleet.feed(
                other,
                new HostEvent.StatusRequested(3, new RequestKey(FakeFleet.WORKSPACE, "none")));
        fleet.settle();
        assertEquals(fleet.statuses.get(3L), new RequestStatus.Unknown());
    }
}
