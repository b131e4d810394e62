package org.orioleshed.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Chooses hosts for new connections as the platform's load balancer does: two consecutive failed
 * readiness probes eject a host, one successful probe restores it.
 */
final class Balancer {
    private static final long PROBE_INTERVAL_MILLIS = 1_000;
    private static final int EJECTION_FAILURES = 2;
    private static final String READY_STATUS_LINE = "HTTP/1.1 200";

    private final List<SoakHost> hosts;
    private final int[] failures;
    private volatile boolean[] ejected;
    private volatile boolean stopped;

    Balancer(List<SoakHost> hosts) {
        this.hosts = hosts;
        this.failures = new int[hosts.size()];
        this.ejected = new boolean[hosts.size()];
    }

    void start() {
        for (SoakHost host : hosts) {
            Thread.ofVirtual().start(() -> probe(host));
        }
    }

    void stop() {
        stopped = true;
    }

    private void probe(SoakHost host) {
        try {
            while (!stopped) {
                record(host.index(), isReady(host));
                Thread.sleep(PROBE_INTERVAL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void record(int host, boolean ready) {
        failures[host] = ready ? 0 : failures[host] + 1;
        boolean[] next = ejected.clone();
        next[host] = failures[host] >= EJECTION_FAILURES;
        ejected = next;
    }

    static boolean isReady(SoakHost host) {
        InetSocketAddress address = host.readyAddress();
        try (Socket socket = new Socket()) {
            socket.connect(address, (int) PROBE_INTERVAL_MILLIS);
            socket.setSoTimeout((int) PROBE_INTERVAL_MILLIS);
            socket.getOutputStream()
                    .write(
                            "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n"
                                    .getBytes(StandardCharsets.UTF_8));
            byte[] head = socket.getInputStream().readNBytes(READY_STATUS_LINE.length());
            return new String(head, StandardCharsets.UTF_8).equals(READY_STATUS_LINE);
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * Returns the host for a new connection of a caller in a zone: a random healthy host of the
     * zone, any host of the zone where fewer than half of them are healthy, and a healthy host of
     * another zone where none of them is and there is one.
     */
    SoakHost choose(String zone, RandomGenerator random) {
        List<SoakHost> local = hosts.stream().filter(it -> it.zone().equals(zone)).toList();
        boolean[] current = ejected;
        List<SoakHost> healthy = local.stream().filter(it -> !current[it.index()]).toList();
        List<SoakHost> candidates = healthy.size() * 2 < local.size() ? local : healthy;
        if (healthy.isEmpty()) {
            List<SoakHost> remote = hosts.stream().filter(it -> !current[it.index()]).toList();
            candidates = remote.isEmpty() ? local : remote;
        }
        return candidates.get(random.nextInt(candidates.size()));
    }
}
