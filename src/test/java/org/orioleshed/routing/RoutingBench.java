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
import org.orioleshed.fleet.World;
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

/** The cost of a choice, and of a run's whole life on its home, by the fleet's size. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class RoutingBench {
    private static final int DOMAINS = 4;
    private static final int HOSTS_EACH = 2;
    private static final int PLACES = 16;
    private static final int REQUESTS = 1_024;

    /** Backend servers in each failure domain. */
    @Param({"8", "80", "333"})
    public int servers;

    private final List<Request> requests = new ArrayList<>();
    private final List<ServerId> homeServers = new ArrayList<>();
    private ServerChooser chooser;
    private HomeCore home;
    private World world;
    private long nowNanos;
    private long sequence;

    /** Fills the chooser with loads and prefixes. */
    @Setup
    public void setUp() {
        world = Worlds.of(DOMAINS, HOSTS_EACH, servers, PLACES);
        chooser = new ServerChooser(Worlds.SELF, RoutingLimits.DEFAULTS);
        home = new HomeCore(Worlds.SELF, RoutingLimits.DEFAULTS);
        home.on(0, new HostEvent.WorldChanged(world));
        Homes homes = Homes.of(world);
        for (ServerId server : world.servers().keySet()) {
            if (homes.home(server).filter(Worlds.SELF::equals).isPresent()) {
                homeServers.add(server);
            }
        }
        for (int i = 0; i < REQUESTS; i++) {
            long first = 1_000L * (i % 32);
            List<Long> prefix = LongStream.range(first, first + 16).boxed().toList();
            requests.add(Worlds.request(i, Tier.STANDARD, prefix));
        }
        choice();
        List<ServerLoad> loads = new ArrayList<>();
        for (int i = 1; i <= servers; i++) {
            List<Long> waits = List.of(0L, 10L * (i % 7), 50L * (i % 5));
            ServerId id = new ServerId(Worlds.NEAR + "-" + i);
            loads.add(new ServerLoad(id, i % PLACES, PLACES, waits, 4_000, 20 + i % 20));
        }
        chooser.learn(0, new ServerLoads(loads));
        for (int i = 0; i < 64; i++) {
            ServerId server = loads.get(i % servers).server();
            chooser.placed(server, prefixOf(i));
        }
    }

    /** The accepting host's choice of two servers. */
    @Benchmark
    public List<Candidate> choice() {
        Request request = requests.get((int) (sequence++ % REQUESTS));
        return chooser.choose(world, request, Optional.empty(), Set.of(), 2, nowNanos);
    }

    /** A run's life on its home: offer, grant, start, ten tokens, end. */
    @Benchmark
    public List<HostAction> runOnHome() {
        nowNanos += 1_000_000;
        ServerId server = homeServers.get((int) (sequence % homeServers.size()));
        RunId run = Worlds.run(++sequence);
        receive(new RoutingMessage.Offered(run, server, Worlds.offer(Tier.STANDARD, 60_000)));
        receive(new RoutingMessage.Placed(run, server, Payload.EMPTY, 0, 256));
        for (int i = 0; i < 10; i++) {
            home.on(nowNanos, new HostEvent.RunTokens(run, server, i, 1, Payload.EMPTY));
        }
        return home.on(nowNanos, new HostEvent.RunEnded(run, server, new RunEnd.Finished(10)));
    }

    /** The work of 20 ms that comes without any event, over all servers of the home. */
    @Benchmark
    public List<HostAction> tickOfHome() {
        nowNanos += 20_000_000;
        return home.on(nowNanos, new HostEvent.Tick());
    }

    private void receive(RoutingMessage message) {
        home.on(nowNanos, new HostEvent.RoutingReceived(Worlds.SELF, message));
    }

    private List<Long> prefixOf(int request) {
        return ((Work.Generate) requests.get(request).work()).prefixHashes();
    }
}
