package org.orioleshed.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.orioleshed.platform.StoreFake;

/** Hosts in failure domains, back-end servers, the store, and what connects them. */
final class SoakFleet implements AutoCloseable {
    static final List<String> ZONES = List.of("z0", "z1", "z2");
    static final int HOSTS = 6;
    static final int SERVERS = 6;
    private static final long START_SECONDS = 60;
    private static final long POLL_MILLIS = 50;

    private final History history;
    private final StoreFake store = new StoreFake();
    private final Operator operator;
    private final List<SoakHost> hosts = new ArrayList<>();
    private final List<SoakServer> servers = new CopyOnWriteArrayList<>();
    private final Thread hook = new Thread(this::closeHosts);
    private final int places;
    private final List<SoakServer> everStarted = new CopyOnWriteArrayList<>();

    /** Makes the fleet; nothing is started yet. */
    SoakFleet(Path directory, int hostCount, int places, History history) throws IOException {
        this.history = history;
        this.places = places;
        this.operator = new Operator(store, history);
        List<String> ips = HostAddresses.choose(hostCount);
        for (int host = 0; host < hostCount; host++) {
            Files.deleteIfExists(directory.resolve(SoakHost.logName(host)));
            FaultProxy toStore = new FaultProxy(store.address());
            String zone = ZONES.get(host % ZONES.size());
            hosts.add(new SoakHost(host, ips, zone, directory, toStore, history));
        }
    }

    List<SoakHost> hosts() {
        return hosts;
    }

    Operator operator() {
        return operator;
    }

    /** Starts everything and waits until all hosts are ready. */
    void start() throws IOException, InterruptedException {
        Runtime.getRuntime().addShutdownHook(hook);
        store.takeWrites();
        operator.writeNext();
        for (int server = 0; server < SERVERS; server++) {
            addServer();
        }
        for (SoakHost host : hosts) {
            host.start();
        }
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_SECONDS);
        while (!hosts.stream().allMatch(Balancer::isReady)) {
            if (System.nanoTime() > endNanos) {
                throw new IllegalStateException("a host never became ready");
            }
            Thread.sleep(POLL_MILLIS);
        }
    }

    /** Starts one more server and returns it. */
    synchronized SoakServer addServer() throws IOException {
        String zone = ZONES.get(everStarted.size() % ZONES.size());
        SoakServer server = new SoakServer("i-" + everStarted.size(), zone, places, history);
        everStarted.add(server);
        servers.add(server);
        store.put(server.key(), server.entry());
        return server;
    }

    /** Takes a server out of those that faults choose from, and starts another one. */
    synchronized SoakServer replace(int choice) throws IOException {
        SoakServer server = servers.remove(choice % servers.size());
        addServer();
        return server;
    }

    /** Returns a server that stays. */
    synchronized SoakServer server(int choice) {
        return servers.get(choice % servers.size());
    }

    /** A server says that it is leaving. */
    void drain(SoakServer server) {
        server.leaving();
        store.put(server.key(), server.entry());
        history.add(new History.Drain(server.id(), System.nanoTime()));
    }

    /** The entry of a server that is gone. */
    void forget(SoakServer server) {
        store.delete(server.key());
    }

    /** Waits until no server works any more. */
    void awaitIdle() throws InterruptedException {
        while (!everStarted.stream().allMatch(SoakServer::isIdle)) {
            Thread.sleep(POLL_MILLIS);
        }
    }

    private void closeHosts() {
        for (SoakHost host : hosts) {
            try {
                host.close();
            } catch (IOException e) {
                history.problem("close: " + e.getMessage());
            }
        }
    }

    @Override
    public void close() throws IOException {
        closeHosts();
        var unused = Runtime.getRuntime().removeShutdownHook(hook);
        for (SoakServer server : servers) {
            server.close();
        }
        store.close();
    }
}
