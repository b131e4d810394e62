package org.orioleshed;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.fleet.Route;
import org.orioleshed.fleet.Target;
import org.orioleshed.fleet.Workspace;
import org.orioleshed.host.HostAction;
import org.orioleshed.host.HostEvent;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.Fingerprint;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ModelId;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.Payload;
import org.orioleshed.model.Request;
import org.orioleshed.model.RequestId;
import org.orioleshed.model.RequestKey;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.StateMachine;
import org.orioleshed.model.Tier;
import org.orioleshed.model.VersionId;
import org.orioleshed.model.Work;
import org.orioleshed.model.WorkspaceId;
import org.orioleshed.routing.RunEnd;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against state machines that need more than events; the test acts as the adapter. */
public class OrioleshedTest {
    private static final HostId HOST = new HostId("h");
    private static final FailureDomain DOMAIN = new FailureDomain("d");
    private static final WorkspaceId WORKSPACE = new WorkspaceId("w");
    private static final RouteId ROUTE = new RouteId("r");
    private static final ServerId SERVER = new ServerId("s");
    private static final Target TARGET = new Target.Model(new ModelId("m"));
    private static final long NOW_NANOS = 1_000_000_000L;

    @DataProvider
    Object[][] hosts() {
        return new Object[][] {{Orioleshed.host("h", "d", 1)}, {Orioleshed.naiveHost()}};
    }

    @Test(dataProvider = "hosts")
    public void servesARequestWithoutSockets(StateMachine<HostEvent, HostAction> host) {
        Request request = request();
        host.on(NOW_NANOS, new HostEvent.FleetChanged(fleet()));
        List<HostAction> actions =
                new ArrayList<>(host.on(NOW_NANOS, new HostEvent.RequestArrived(request)));
        HostAction.StartRun start = only(actions, HostAction.StartRun.class);
        host.on(NOW_NANOS, new HostEvent.RunAccepted(start.run(), SERVER));
        actions =
                host.on(
                        NOW_NANOS,
                        new HostEvent.RunTokens(start.run(), SERVER, 0, 1, Payload.of("yes")));
        assertEquals(only(actions, HostAction.WriteTokens.class).text().text(), "yes");
        actions =
                host.on(
                        NOW_NANOS,
                        new HostEvent.RunEnded(start.run(), SERVER, new RunEnd.Finished(1)));
        Outcome outcome = only(actions, HostAction.Answer.class).outcome();
        assertTrue(outcome instanceof Outcome.Answered, outcome.toString());
    }

    private static <T extends HostAction> T only(List<HostAction> actions, Class<T> kind) {
        List<T> found = actions.stream().filter(kind::isInstance).map(kind::cast).toList();
        assertEquals(found.size(), 1, actions.toString());
        return found.getFirst();
    }

    private static Request request() {
        return new Request(
                new RequestId(HOST, 1, 1),
                new RequestKey(WORKSPACE, "k"),
                ROUTE,
                Tier.URGENT,
                NOW_NANOS + 5_000_000_000L,
                NOW_NANOS,
                new Fingerprint(1, 2),
                new Work.Generate(10, 5, List.of()),
                Payload.of("{}"));
    }

    private static FleetSnapshot fleet() {
        EntryHost host =
                new EntryHost(
                        HOST,
                        DOMAIN,
                        1,
                        InetSocketAddress.createUnresolved("127.0.0.1", 1),
                        EntryHost.State.ALIVE);
        BackendServer server =
                new BackendServer(
                        SERVER,
                        DOMAIN,
                        URI.create("http://127.0.0.1:1"),
                        TARGET,
                        new VersionId("v1"),
                        "g1",
                        4,
                        1_000,
                        true,
                        true,
                        false);
        Workspace workspace =
                new Workspace(
                        WORKSPACE,
                        List.of(),
                        1,
                        Map.of(Tier.URGENT, 10_000L),
                        Tier.URGENT,
                        10,
                        100,
                        Optional.empty());
        return new FleetSnapshot(
                1,
                Map.of(HOST, host),
                Map.of(SERVER, server),
                Map.of(ROUTE, new Route(ROUTE, TARGET, Map.of())),
                Map.of(WORKSPACE, workspace),
                Map.of(),
                Map.of());
    }
}
