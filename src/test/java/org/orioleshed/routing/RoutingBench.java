package org.orioleshed.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.host.HostAction;
import org.orioleshed.host.HostEvent;
import org.orioleshed.model.Payload;
import org.orioleshed.model.Request;
import org.orioleshed.model.RunId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.Tier;
import org.orioleshed.model.Work;
import org.orioleshed.routing.RoutingMessage.ServerLoad;
import org.orioleshed.routing.RoutingMessage.ServerLoads;

/**
 * Benchmarks of the choice of servers and of the lifecycle of a run on its owner, by fleet size.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class RoutingBench {
    private static final int DOMAINS = 4;
    private static final int HOSTS_EACH = 2;
    private static final int SLOTS = 16;
    private static final int REQUESTS = 1_024;

    /** Backend servers in each failure domain. */
    @Param({"8", "80", "333"})
    public int servers;

    private final List<Request> requests = new ArrayList<>();
    private final List<ServerId> ownedServers = new ArrayList<>();
    private ServerChooser chooser;
    private OwnerCore owner;
    private FleetSnapshot fleet;
    private long nowNanos;
    private long sequence;

    /** Fills the chooser with load reports and prefixes. */
    @Setup
    public void setUp() {
        fleet = FleetSnapshots.of(DOMAINS, HOSTS_EACH, servers, SLOTS);
        chooser = new ServerChooser(FleetSnapshots.SELF, RoutingLimits.DEFAULTS);
        owner = new OwnerCore(FleetSnapshots.SELF, RoutingLimits.DEFAULTS);
        owner.on(0, new HostEvent.FleetChanged(fleet));
        ServerOwners owners = ServerOwners.of(fleet);
        for (ServerId server : fleet.servers().keySet()) {
            if (owners.owner(server).filter(FleetSnapshots.SELF::equals).isPresent()) {
                ownedServers.add(server);
            }
        }
        for (int i = 0; i < REQUESTS; i++) {
            long first = 1_000L * (i % 32);
            List<Long> prefix = LongStream.range(first, first + 16).boxed().toList();
            requests.add(FleetSnapshots.request(i, Tier.STANDARD, prefix));
        }
        choice();
        List<ServerLoad> loads = new ArrayList<>();
        for (int i = 1; i <= servers; i++) {
            List<Long> waits = List.of(0L, 10L * (i % 7), 50L * (i % 5));
            ServerId id = new ServerId(FleetSnapshots.LOCAL_DOMAIN + "-" + i);
            loads.add(new ServerLoad(id, i % SLOTS, SLOTS, waits, 4_000, 20 + i % 20));
        }
        chooser.observe(0, new ServerLoads(loads));
        for (int i = 0; i < 64; i++) {
            ServerId server = loads.get(i % servers).server();
            chooser.placed(server, prefixOf(i));
        }
    }

    /** The accepting host's choice of two servers. */
    @Benchmark
    public List<Candidate> choice() {
        Request request = requests.get((int) (sequence++ % REQUESTS));
        return chooser.choose(fleet, request, Optional.empty(), Set.of(), 2, nowNanos);
    }

    /** The lifecycle of a run on its owner: offer, grant, start, ten tokens, end. */
    @Benchmark
    public List<HostAction> runOnOwner() {
        nowNanos += 1_000_000;
        ServerId server = ownedServers.get((int) (sequence % ownedServers.size()));
        RunId run = FleetSnapshots.run(++sequence);
        receive(
                new RoutingMessage.Offered(
                        run, server, FleetSnapshots.offer(Tier.STANDARD, 60_000)));
        receive(new RoutingMessage.Placed(run, server, Payload.EMPTY, 0, 256));
        for (int i = 0; i < 10; i++) {
            owner.on(nowNanos, new HostEvent.RunTokens(run, server, i, 1, Payload.EMPTY));
        }
        return owner.on(nowNanos, new HostEvent.RunEnded(run, server, new RunEnd.Finished(10)));
    }

    /** The periodic work of one 20 ms tick over all servers of the owner. */
    @Benchmark
    public List<HostAction> tickOfOwners() {
        nowNanos += 20_000_000;
        return owner.on(nowNanos, new HostEvent.Tick());
    }

    private void receive(RoutingMessage message) {
        owner.on(nowNanos, new HostEvent.RoutingReceived(FleetSnapshots.SELF, message));
    }

    private List<Long> prefixOf(int request) {
        return ((Work.Generate) requests.get(request).work()).prefixHashes();
    }
}
