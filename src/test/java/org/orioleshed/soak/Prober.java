package org.orioleshed.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Probes each host directly for the configuration in force, and for recovery after all faults. */
final class Prober {
    private static final long PROBE_INTERVAL_MILLIS = 400;
    private static final int PROMPT_TOKENS = 1;
    private static final long DEADLINE_MILLIS = 3_000;
    private static final long RETRY_INTERVAL_MILLIS = 200;

    /** The time after all faults within which every host must serve every kind of call again. */
    private static final long RECOVER_SECONDS = 12;

    private final SoakFleet fleet;
    private final History history;
    private final long seed;
    private final AtomicInteger callCount = new AtomicInteger();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean stopped;

    Prober(SoakFleet fleet, History history, long seed) {
        this.fleet = fleet;
        this.history = history;
        this.seed = seed;
    }

    void start() {
        for (SoakHost host : fleet.hosts()) {
            threads.add(Thread.ofVirtual().start(() -> probe(host)));
        }
    }

    /** Stops the probes; returns when the last one has ended. */
    void stop() throws InterruptedException {
        stopped = true;
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private void probe(SoakHost host) {
        Random random = new Random(seed * 100 + host.index());
        try {
            while (!stopped) {
                host.checkAlive();
                if (host.isUp()) {
                    int route = Math.max(0, fleet.operator().version() - random.nextInt(3));
                    int startCount = host.startCount();
                    String prefix = Operator.routePrefix(route);
                    Call call = send(host, CallKind.IDEMPOTENT, prefix);
                    history.add(new History.Probe(host.index(), startCount, route, call));
                }
                Thread.sleep(PROBE_INTERVAL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Call send(SoakHost host, CallKind kind, String prefix) {
        Call.Request request =
                Call.Request.of(
                        kind,
                        Work.of(prefix, 1, 1),
                        Operator.PLAIN_KEY,
                        PROMPT_TOKENS,
                        DEADLINE_MILLIS);
        String id = "s%d-p%d".formatted(seed, callCount.incrementAndGet());
        Call call = CallerSocket.callOnNewConnection(id, request, host);
        history.add(call);
        return call;
    }

    /** Records each kind of call that a host doesn't serve in time after the end of all faults. */
    void checkRecovery() throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(RECOVER_SECONDS);
        for (SoakHost host : fleet.hosts()) {
            for (CallKind kind : CallKind.ALL) {
                Call call = send(host, kind, kind.prefix());
                while (!call.succeeded() && System.nanoTime() < endNanos) {
                    Thread.sleep(RETRY_INTERVAL_MILLIS);
                    call = send(host, kind, kind.prefix());
                }
                if (!call.succeeded()) {
                    history.addProblem(
                            "RECOVER: not served again within %d s: ".formatted(RECOVER_SECONDS)
                                    + call);
                }
            }
        }
    }
}
