package org.orioleshed.routing;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.LocalTime;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.fleet.PatienceWindow;
import org.orioleshed.fleet.Route;
import org.orioleshed.fleet.Target;
import org.orioleshed.fleet.Workspace;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.Fingerprint;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ModelId;
import org.orioleshed.model.Payload;
import org.orioleshed.model.Request;
import org.orioleshed.model.RequestId;
import org.orioleshed.model.RequestKey;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.RunId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.Tier;
import org.orioleshed.model.VersionId;
import org.orioleshed.model.Work;
import org.orioleshed.model.WorkspaceId;
import org.orioleshed.routing.RoutingMessage.Offer;

/** Fleet snapshots and requests for tests. */
final class FleetSnapshots {
    static final RouteId ROUTE = new RouteId("gangway");
    static final Target MODEL = new Target.Model(new ModelId("letters"));
    static final FailureDomain LOCAL_DOMAIN = new FailureDomain("suva-a");
    static final HostId SELF = new HostId("suva-a-h1");

    private static final PatienceWindow NIGHT =
            new PatienceWindow(LocalTime.of(20, 0), LocalTime.of(6, 0), ZoneOffset.UTC);

    private FleetSnapshots() {}

    /** Returns a fleet snapshot of {@code domains} failure domains of equal size. */
    static FleetSnapshot of(int domains, int hostsPerDomain, int serversPerDomain, int slots) {
        List<EntryHost> hosts = new ArrayList<>();
        List<BackendServer> servers = new ArrayList<>();
        for (int d = 0; d < domains; d++) {
            FailureDomain domain = domain(d);
            for (int h = 1; h <= hostsPerDomain; h++) {
                hosts.add(host(domain + "-h" + h, domain, EntryHost.State.ALIVE));
            }
            for (int s = 1; s <= serversPerDomain; s++) {
                servers.add(server(domain + "-" + s, domain, slots));
            }
        }
        return of(hosts, servers);
    }

    static FleetSnapshot of(List<EntryHost> hosts, List<BackendServer> servers) {
        Map<HostId, EntryHost> hostMap = new HashMap<>();
        hosts.forEach(host -> hostMap.put(host.id(), host));
        Map<ServerId, BackendServer> serverMap = new HashMap<>();
        servers.forEach(server -> serverMap.put(server.id(), server));
        Map<WorkspaceId, Workspace> workspaces = new HashMap<>();
        for (int weight = 1; weight <= 4; weight++) {
            Workspace workspace = workspace(weight);
            workspaces.put(workspace.id(), workspace);
        }
        Route route = new Route(ROUTE, MODEL, Map.of());
        return new FleetSnapshot(
                1, hostMap, serverMap, Map.of(ROUTE, route), workspaces, Map.of(), Map.of());
    }

    static FailureDomain domain(int number) {
        return new FailureDomain("suva-" + (char) ('a' + number));
    }

    static EntryHost host(String id, FailureDomain domain, EntryHost.State state) {
        InetSocketAddress address = InetSocketAddress.createUnresolved("127.0.0.1", 8101);
        return new EntryHost(new HostId(id), domain, 1, address, state);
    }

    static BackendServer server(String id, FailureDomain domain, int slots) {
        return new BackendServer(
                new ServerId(id),
                domain,
                URI.create("http://127.0.0.1:9001"),
                MODEL,
                new VersionId("v1"),
                "g1",
                slots,
                64_000,
                true,
                true,
                false);
    }

    /** Returns the ID of the workspace with the given weight. */
    static WorkspaceId workspaceId(int weight) {
        return new WorkspaceId("weight-" + weight);
    }

    static RunId run(long sequence) {
        return run(SELF, sequence);
    }

    static RunId run(HostId host, long sequence) {
        return new RunId(new RequestId(host, 1, sequence), 1);
    }

    static Offer offer(Tier tier, long remainingMillis) {
        return offer(tier, remainingMillis, 1, 0);
    }

    static Offer offer(Tier tier, long remainingMillis, int weight, int preemptions) {
        return new Offer(
                workspaceId(weight),
                ROUTE,
                tier,
                remainingMillis,
                0,
                100,
                50,
                List.of(),
                preemptions,
                new Fingerprint(1, 2));
    }

    static Request request(long sequence, Tier tier, List<Long> prefixHashes) {
        return new Request(
                new RequestId(SELF, 1, sequence),
                new RequestKey(workspaceId(1), "key-" + sequence),
                ROUTE,
                tier,
                10_000_000_000L,
                0,
                new Fingerprint(1, sequence),
                new Work.Generate(
                        Work.PREFIX_BLOCK_TOKENS * Math.max(1, prefixHashes.size()),
                        100,
                        prefixHashes),
                Payload.EMPTY);
    }

    private static Workspace workspace(int weight) {
        return new Workspace(
                workspaceId(weight),
                List.of(),
                weight,
                Map.of(Tier.URGENT, 10_000L),
                Tier.STANDARD,
                200,
                4_000,
                Optional.of(NIGHT));
    }
}
