package org.orioleshed.load;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.orioleshed.load.FleetLayout.Host;

/** A stand-in for the platform's balancer: round robin over the entry hosts that say ready. */
final class Balancer implements Runnable {
    private static final Duration CHECK_TIMEOUT = Duration.ofSeconds(1);
    private static final long CHECK_EVERY_MILLIS = 200;

    private final Http http;
    private final List<Host> hosts;
    private final AtomicInteger turn = new AtomicInteger();
    private volatile List<Host> ready = List.of();

    Balancer(Http http, List<Host> hosts) {
        this.http = http;
        this.hosts = hosts;
    }

    /** Returns the next host in turn; any host when none is ready. */
    Host next() {
        List<Host> from = ready.isEmpty() ? hosts : ready;
        return from.get(Math.floorMod(turn.getAndIncrement(), from.size()));
    }

    int readyCount() {
        return ready.size();
    }

    /** Asks all hosts again and again until the thread is interrupted. */
    @Override
    public void run() {
        try {
            while (true) {
                ready = hosts.parallelStream().filter(this::isReady).toList();
                Thread.sleep(CHECK_EVERY_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean isReady(Host host) {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(host.callerUrl() + "/readyz"))
                        .timeout(CHECK_TIMEOUT)
                        .build();
        try {
            return http.client.send(request, BodyHandlers.discarding()).statusCode() == 200;
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
