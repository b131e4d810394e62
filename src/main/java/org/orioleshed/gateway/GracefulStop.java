package org.orioleshed.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The stop sequence of a host: idle connections are closed once the balancer routes nothing more
 * here, running requests are finished, and those that remain at the end of the service get a final
 * response. Used on the data thread, but for {@link #await}.
 */
final class GracefulStop {
    /** Bounds the work on a backlog that grows as fast as it is accepted. */
    private static final int MAX_ACCEPT_ROUNDS = 100;

    private final ShutdownPolicy policy;
    private final Collection<Exchange> exchanges;
    private final Collection<CallerConnection> callers;
    private final BiConsumer<String, Throwable> faults;
    private final Runnable acceptWaiting;
    private final Runnable closeListeners;
    private final Consumer<String> log;
    private final CountDownLatch stopped = new CountDownLatch(1);

    /**
     * Creates the sequence of a host that is not stopping.
     *
     * @param exchanges the requests being served, as they change
     * @param callers the open connections of callers, as they change
     * @param faults receives the work that failed, and why
     * @param acceptWaiting accepts the connections that wait in the backlogs of the listeners
     * @param closeListeners closes the listeners for requests, at the end
     */
    GracefulStop(
            ShutdownPolicy policy,
            Collection<Exchange> exchanges,
            Collection<CallerConnection> callers,
            BiConsumer<String, Throwable> faults,
            Runnable acceptWaiting,
            Runnable closeListeners,
            Consumer<String> log) {
        this.policy = policy;
        this.exchanges = exchanges;
        this.callers = callers;
        this.faults = faults;
        this.acceptWaiting = acceptWaiting;
        this.closeListeners = closeListeners;
        this.log = log;
    }

    /**
     * Begins the sequence; returns whether it had not begun before.
     *
     * @param stopNanos when the stop signal arrived, in nanoseconds on the monotonic clock
     */
    boolean begin(long stopNanos) {
        if (policy.begun()) {
            return false;
        }
        policy.begin(stopNanos);
        log.accept(
                "event=leaving running=%d connections=%d"
                        .formatted(exchanges.size(), callers.size()));
        return true;
    }

    /** Takes the steps that are due. */
    void tick(long nowNanos) {
        boolean over = policy.mustEndAll(nowNanos);
        if (!policy.begun() || (policy.balancerMayRoute(nowNanos) && !over)) {
            return;
        }
        if (over) {
            endAll(nowNanos);
        } else {
            forEachCaller(caller -> caller.closeIfIdle(nowNanos));
        }
        if (policy.isFinalDeadline(nowNanos) || isQuiet()) {
            end(nowNanos);
        }
    }

    /** Returns whether no work is left, also none that waits in a listener's backlog. */
    private boolean isQuiet() {
        if (exchanges.isEmpty() && callers.isEmpty()) {
            acceptAll();
        }
        return exchanges.isEmpty() && callers.isEmpty();
    }

    /** Accepts all connections that wait in a listener's backlog. */
    private void acceptAll() {
        int rounds = 0;
        int known;
        do {
            known = callers.size();
            acceptWaiting.run();
            rounds++;
        } while (callers.size() > known && rounds < MAX_ACCEPT_ROUNDS);
    }

    /**
     * Ends all remaining requests with a final response, also those that were received and not read
     * yet, and closes all connections. Responses that servers have completed are passed on.
     */
    private void endAll(long nowNanos) {
        acceptAll();
        forEachCaller(CallerConnection::takeReceived);
        List.copyOf(exchanges).forEach(exchange -> guard(exchange::receiveResponse));
        // Waiting requests end first, so that the slot of one that ends is not granted to them.
        List<Exchange> remaining = new ArrayList<>(exchanges);
        remaining.sort(Comparator.comparing(Exchange::isSent));
        remaining.forEach(exchange -> guard(exchange::hostStopping));
        forEachCaller(caller -> caller.endOfService(nowNanos));
    }

    private void forEachCaller(Consumer<CallerConnection> step) {
        List.copyOf(callers).forEach(caller -> guard(() -> step.accept(caller)));
    }

    /** Runs a step; a failure must not keep the others from being taken. */
    private void guard(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            faults.accept("end", e);
        }
    }

    private void end(long nowNanos) {
        if (stopped.getCount() == 0) {
            return;
        }
        closeListeners.run();
        log.accept("event=stopped after_ms=" + policy.sinceMillis(nowNanos));
        stopped.countDown();
    }

    /** Waits for the end of the sequence; may be called from any thread. */
    void await(long maxMillis) {
        try {
            var unused = stopped.await(maxMillis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
