package org.orioleshed.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.orioleshed.platform.StoreFake;

/** Hosts in failure domains, backend servers, the store, and the proxies between them. */
final class SoakFleet implements AutoCloseable {
    static final List<String> ZONES = List.of("z0", "z1", "z2");
    static final int HOSTS = 6;
    static final int SERVERS = 6;
    private static final long START_SECONDS = 60;
    private static final long POLL_MILLIS = 50;

    /** The time for which the entry of a crashed server stays in the store. */
    private static final long CRASHED_ENTRY_MILLIS = 700;

    private final History history;
    private final StoreFake store = new StoreFake();
    private final Operator operator;
    private final List<SoakHost> hosts = new ArrayList<>();
    private final List<SoakServer> servers = new CopyOnWriteArrayList<>();
    private final Thread shutdownHook = new Thread(this::closeHosts);
    private final int slots;
    private final List<SoakServer> allServers = new CopyOnWriteArrayList<>();

    /**
     * Creates the fleet without starting its hosts and servers.
     *
     * @param warmsUp whether the configuration states a warm-up of servers
     */
    SoakFleet(Path directory, int hostCount, int slots, boolean warmsUp, History history)
            throws IOException {
        this.history = history;
        this.slots = slots;
        this.operator = new Operator(store, history, warmsUp);
        List<String> ips = HostAddresses.choose(hostCount);
        for (int host = 0; host < hostCount; host++) {
            Files.deleteIfExists(directory.resolve(SoakHost.logName(host)));
            FaultProxy storeProxy = new FaultProxy(store.address());
            String zone = ZONES.get(host % ZONES.size());
            hosts.add(new SoakHost(host, ips, zone, directory, storeProxy, history));
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
        Runtime.getRuntime().addShutdownHook(shutdownHook);
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
                throw new IllegalStateException(
                        "a host did not become ready within %d s".formatted(START_SECONDS));
            }
            Thread.sleep(POLL_MILLIS);
        }
    }

    /** Starts one more server and returns it. */
    synchronized SoakServer addServer() throws IOException {
        String zone = ZONES.get(allServers.size() % ZONES.size());
        SoakServer server =
                new SoakServer("i-" + allServers.size(), zone, slots, history, this::crashed);
        allServers.add(server);
        servers.add(server);
        store.put(server.key(), server.entry());
        return server;
    }

    /**
     * Removes a server from those that faults select, starts another one, and returns the first.
     */
    synchronized SoakServer replace(int choice) throws IOException {
        SoakServer server = servers.remove(choice % servers.size());
        addServer();
        return server;
    }

    /** Ends a crashed server and starts another one; the entry of the first is removed later. */
    private void crashed(SoakServer server) {
        if (!servers.remove(server)) {
            return;
        }
        var unused = Thread.ofVirtual().start(() -> replaceCrashed(server));
    }

    private void replaceCrashed(SoakServer server) {
        long fromNanos = System.nanoTime();
        try {
            addServer();
            server.close();
            Thread.sleep(CRASHED_ENTRY_MILLIS);
            deregister(server);
            history.add(
                    new History.Impairment(
                            "server crashed " + server.id(),
                            History.NO_HOST,
                            fromNanos,
                            System.nanoTime()));
        } catch (IOException e) {
            history.addProblem("replacing " + server.id() + " failed: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns one of the current servers without replacing it. */
    synchronized SoakServer server(int choice) {
        return servers.get(choice % servers.size());
    }

    /** Writes a server's draining state to the store. */
    void drain(SoakServer server) {
        server.setDraining();
        store.put(server.key(), server.entry());
        history.add(new History.Drain(server.id(), System.nanoTime()));
    }

    /** Turns the servers of a failure domain cold, and returns them. */
    synchronized List<SoakServer> turnCold(String zone) {
        List<SoakServer> cold = servers.stream().filter(it -> it.zone().equals(zone)).toList();
        cold.forEach(SoakServer::turnCold);
        cold.forEach(it -> store.put(it.key(), it.entry()));
        return cold;
    }

    /** Writes a server's entry again unless a fault has removed the server. */
    synchronized void updateEntry(SoakServer server) {
        if (servers.contains(server)) {
            store.put(server.key(), server.entry());
        }
    }

    /** Deletes a server's entry from the store. */
    void deregister(SoakServer server) {
        store.delete(server.key());
    }

    /** Waits until no server has running or waiting requests. */
    void awaitIdle() throws InterruptedException {
        while (!allServers.stream().allMatch(SoakServer::isIdle)) {
            Thread.sleep(POLL_MILLIS);
        }
    }

    private void closeHosts() {
        for (SoakHost host : hosts) {
            try {
                host.close();
            } catch (IOException e) {
                history.addProblem(
                        "closing host %d failed: %s".formatted(host.index(), e.getMessage()));
            }
        }
    }

    @Override
    public void close() throws IOException {
        closeHosts();
        var unused = Runtime.getRuntime().removeShutdownHook(shutdownHook);
        for (SoakServer server : servers) {
            server.close();
        }
        store.close();
    }
}
