package org.orioleshed.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Chooses hosts for new connections as the platform does: two questions in a row without a 200 take
 * a host out, one with it brings it back.
 */
final class Balancer {
    private static final long EACH_MILLIS = 1_000;
    private static final int MISSES = 2;
    private static final String GOOD = "HTTP/1.1 200";

    private final List<SoakHost> hosts;
    private final int[] misses;
    private volatile boolean[] out;
    private volatile boolean over;

    Balancer(List<SoakHost> hosts) {
        this.hosts = hosts;
        this.misses = new int[hosts.size()];
        this.out = new boolean[hosts.size()];
    }

    void start() {
        for (SoakHost host : hosts) {
            Thread.ofVirtual().start(() -> ask(host));
        }
    }

    void stop() {
        over = true;
    }

    private void ask(SoakHost host) {
        try {
            while (!over) {
                note(host.index(), isReady(host));
                Thread.sleep(EACH_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void note(int host, boolean ready) {
        misses[host] = ready ? 0 : misses[host] + 1;
        boolean[] next = out.clone();
        next[host] = misses[host] >= MISSES;
        out = next;
    }

    static boolean isReady(SoakHost host) {
        InetSocketAddress address = host.ready();
        try (Socket socket = new Socket()) {
            socket.connect(address, (int) EACH_MILLIS);
            socket.setSoTimeout((int) EACH_MILLIS);
            socket.getOutputStream()
                    .write(
                            "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n"
                                    .getBytes(StandardCharsets.UTF_8));
            byte[] head = socket.getInputStream().readNBytes(GOOD.length());
            return new String(head, StandardCharsets.UTF_8).equals(GOOD);
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns the host for a new connection of a caller in a zone. */
    SoakHost choose(String zone, RandomGenerator random) {
        List<SoakHost> near = hosts.stream().filter(it -> it.zone().equals(zone)).toList();
        boolean[] present = out;
        List<SoakHost> in = near.stream().filter(it -> !present[it.index()]).toList();
        List<SoakHost> chosen = in.size() * 2 < near.size() ? near : in;
        if (in.isEmpty()) {
            List<SoakHost> far = hosts.stream().filter(it -> !present[it.index()]).toList();
            chosen = far.isEmpty() ? near : far;
        }
        return chosen.get(random.nextInt(chosen.size()));
    }
}
