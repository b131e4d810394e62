package org.orioleshed.host;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.fleet.Route;
import org.orioleshed.fleet.Target;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.Fingerprint;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ModelId;
import org.orioleshed.model.Payload;
import org.orioleshed.model.Request;
import org.orioleshed.model.RequestId;
import org.orioleshed.model.RequestKey;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.Tier;
import org.orioleshed.model.VersionId;
import org.orioleshed.model.Work;
import org.orioleshed.model.WorkspaceId;

/**
 * Measures the memory per waiting request on its accepting host, without the body. The owners are
 * other hosts that never answer. Run as a program.
 */
final class WaitingMemoryBench {
    private static final int REQUESTS = 10_000;
    private static final int PREFIX_BLOCKS = 32;

    private WaitingMemoryBench() {}

    /** Prints the bytes per waiting request. */
    public static void main(String[] args) throws InterruptedException {
        HostId self = new HostId("host-0");
        HostCore core =
                new HostCore(self, new FailureDomain("a"), 1, HostLimits.DEFAULTS, new Random(1));
        core.on(1, new HostEvent.FleetChanged(snapshot()));
        long before = usedBytes();
        for (int i = 0; i < REQUESTS; i++) {
            core.on(1, new HostEvent.RequestArrived(request(self, i)));
        }
        core.on(TimeUnit.MILLISECONDS.toNanos(150), new HostEvent.Tick());
        long after = usedBytes();
        System.out.printf(
                "%d waiting requests, %d prefix hashes each: %d bytes per request%n",
                core.requests(), PREFIX_BLOCKS, (after - before) / REQUESTS);
    }

    private static Request request(HostId self, int number) {
        List<Long> prefixes =
                LongStream.range(0, PREFIX_BLOCKS).mapToObj(b -> b * 1_000_003L + number).toList();
        return new Request(
                new RequestId(self, 1, number),
                new RequestKey(new WorkspaceId("stewards"), "key-of-some-length-" + number),
                new RouteId("gangway"),
                Tier.PATIENT,
                TimeUnit.HOURS.toNanos(1),
                1,
                new Fingerprint(number, number),
                new Work.Generate(2_048, 400, prefixes),
                Payload.EMPTY);
    }

    private static FleetSnapshot snapshot() {
        Map<HostId, EntryHost> hosts = new HashMap<>();
        for (int i = 0; i < 8; i++) {
            HostId id = new HostId("host-" + i);
            hosts.put(
                    id,
                    new EntryHost(
                            id,
                            new FailureDomain(i == 0 ? "a" : "b"),
                            1,
                            InetSocketAddress.createUnresolved("127.0.0.1", 1),
                            EntryHost.State.ALIVE));
        }
        Target model = new Target.Model(new ModelId("letters"));
        Map<ServerId, BackendServer> servers = new HashMap<>();
        for (int i = 0; i < 13; i++) {
            ServerId id = new ServerId("m" + i);
            servers.put(
                    id,
                    new BackendServer(
                            id,
                            new FailureDomain("b"),
                            URI.create("http://127.0.0.1:9"),
                            model,
                            new VersionId("v1"),
                            "g1",
                            8,
                            60_000,
                            true,
                            true,
                            false));
        }
        RouteId route = new RouteId("gangway");
        Map<RouteId, Route> routes = Map.of(route, new Route(route, model, Map.of()));
        return new FleetSnapshot(1, hosts, servers, routes, Map.of(), Map.of(), Map.of());
    }

    private static long usedBytes() throws InterruptedException {
        for (int i = 0; i < 5; i++) {
            System.gc();
            Thread.sleep(50);
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
