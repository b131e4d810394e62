package org.orioleshed.load;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.orioleshed.load.FleetLayout.Host;

/** Stand-in for the platform's load balancer: round robin over the entry hosts that are ready. */
final class Balancer implements Runnable {
    private static final Duration CHECK_TIMEOUT = Duration.ofSeconds(1);
    private static final long CHECK_INTERVAL_MILLIS = 200;

    private final Http http;
    private final List<Host> hosts;
    private final AtomicInteger nextIndex = new AtomicInteger();
    private volatile List<Host> ready = List.of();

    Balancer(Http http, List<Host> hosts) {
        this.http = http;
        this.hosts = hosts;
    }

    /** Returns the next ready host, or the next of all hosts when none is ready. */
    Host next() {
        List<Host> candidates = ready.isEmpty() ? hosts : ready;
        return candidates.get(Math.floorMod(nextIndex.getAndIncrement(), candidates.size()));
    }

    int readyCount() {
        return ready.size();
    }

    /** Polls the readiness of all hosts until the thread is interrupted. */
    @Override
    public void run() {
        try {
            while (true) {
                ready = hosts.parallelStream().filter(this::isReady).toList();
                Thread.sleep(CHECK_INTERVAL_MILLIS);
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
