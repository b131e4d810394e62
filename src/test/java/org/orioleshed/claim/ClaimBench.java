package org.orioleshed.claim;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.host.FakeStore;
import org.orioleshed.host.HostAction;
import org.orioleshed.host.HostEvent;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.Payload;
import org.orioleshed.model.RequestId;
import org.orioleshed.model.RequestKey;
import org.orioleshed.model.RunId;
import org.orioleshed.model.WorkspaceId;
import org.orioleshed.request.Claims;

/**
 * Benchmark of claims from eight hosts at several rates, on a simulated clock. The store answers in
 * 3 ms, messages between hosts take 0.5 ms, and the outcome of each claim is recorded after 50 ms.
 * Run it as a program; it prints one line per rate.
 */
final class ClaimBench implements Claims.Listener {
    private static final int HOSTS = 8;
    private static final long STORE_NANOS = TimeUnit.MICROSECONDS.toNanos(3_000);
    private static final long MESSAGE_NANOS = TimeUnit.MICROSECONDS.toNanos(500);
    private static final long SERVICE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final WorkspaceId WORKSPACE = new WorkspaceId("association");

    private final PriorityQueue<ScheduledAction> scheduled = new PriorityQueue<>();
    private final List<ClaimCore> cores = new ArrayList<>();
    private final FakeStore store = new FakeStore();
    private final Map<RunId, Long> startedNanos = new HashMap<>();
    private final Histogram latency = new Histogram(3);
    private long nowNanos;
    private long sequence;
    private long nextOrder;
    private int acquired;
    private int unavailable;

    private record ScheduledAction(long atNanos, long order, Runnable action)
            implements Comparable<ScheduledAction> {
        @Override
        public int compareTo(ScheduledAction other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** Runs the benchmark at all rates. */
    public static void main(String[] args) {
        System.out.println(
                "claims/s  store calls/claim  writes/s  reads/s  KB written/s  "
                        + "p50 ms  p99 ms  max ms  acquired  unavailable  largest value");
        for (int rate : new int[] {1, 10, 100, 1_000}) {
            new ClaimBench().run(rate, 60);
        }
    }

    private void run(int rate, int seconds) {
        Map<HostId, EntryHost> hosts = new HashMap<>();
        for (int i = 0; i < HOSTS; i++) {
            HostId id = new HostId("host-" + i);
            hosts.put(
                    id,
                    new EntryHost(
                            id,
                            new FailureDomain("a"),
                            1,
                            InetSocketAddress.createUnresolved("127.0.0.1", 1),
                            EntryHost.State.ALIVE));
        }
        FleetSnapshot fleet =
                new FleetSnapshot(1, hosts, Map.of(), Map.of(), Map.of(), Map.of(), Map.of());
        for (int i = 0; i < HOSTS; i++) {
            int number = i;
            ClaimCore core =
                    new ClaimCore(
                            new HostId("host-" + i), ClaimLimits.DEFAULTS, a -> act(number, a));
            core.listener(this);
            cores.add(core);
            core.on(0, new HostEvent.FleetChanged(fleet));
            tick(core, 0);
        }
        // The first second, in which the hosts load the heads, is not measured.
        long start = TimeUnit.SECONDS.toNanos(1);
        long claims = (long) rate * seconds;
        for (long i = 0; i < claims; i++) {
            at(start + i * TimeUnit.SECONDS.toNanos(1) / rate, this::claim);
        }
        at(start - 1, this::resetCounts);
        long end = start + TimeUnit.SECONDS.toNanos(seconds + 1);
        while (!scheduled.isEmpty() && scheduled.peek().atNanos < end) {
            ScheduledAction next = scheduled.poll();
            nowNanos = next.atNanos;
            next.action.run();
        }
        System.out.printf(
                "%8d  %17.2f  %8.1f  %7.1f  %12.0f  %6.1f  %6.1f  %6.1f  %8d  %11d  %d%n",
                rate,
                (store.reads + store.writes) / (double) claims,
                store.writes / (double) seconds,
                store.reads / (double) seconds,
                store.bytesWritten / 1024.0 / seconds,
                latency.getValueAtPercentile(50) / 1e6,
                latency.getValueAtPercentile(99) / 1e6,
                latency.getMaxValue() / 1e6,
                acquired,
                unavailable,
                store.largestValue);
    }

    private void resetCounts() {
        store.reads = 0;
        store.writes = 0;
        store.bytesWritten = 0;
    }

    private void claim() {
        int host = (int) (sequence % HOSTS);
        RunId run = new RunId(new RequestId(new HostId("host-" + host), 1, ++sequence), 1);
        startedNanos.put(run, nowNanos);
        RequestKey key = new RequestKey(WORKSPACE, "booking-2026-12-04-" + sequence);
        cores.get(host).claim(nowNanos, key, run, Optional.empty());
        cores.get(host).deliver();
    }

    @Override
    public void onClaimed(long now, RequestKey key, RunId run, Claims.Result result) {
        latency.recordValue(nowNanos - startedNanos.remove(run));
        if (!(result instanceof Claims.Result.Acquired)) {
            unavailable++;
            return;
        }
        acquired++;
        int host = Integer.parseInt(run.request().host().value().substring(5));
        Outcome outcome = new Outcome.Answered(0, Payload.of("{\"held\":\"cabin 12\"}".repeat(6)));
        at(nowNanos + SERVICE_NANOS, () -> cores.get(host).record(nowNanos, key, run, outcome));
    }

    @Override
    public void onLookedUp(long now, long ticket, RequestKey key, Claims.Result result) {}

    private void tick(ClaimCore core, long atNanos) {
        at(
                atNanos,
                () -> {
                    core.on(nowNanos, new HostEvent.Tick());
                    tick(core, nowNanos + TICK_NANOS);
                });
    }

    private void act(int host, HostAction action) {
        switch (action) {
            case HostAction.SendRequest send -> {
                int to = Integer.parseInt(send.to().value().substring(5));
                HostId from = new HostId("host-" + host);
                HostEvent event = new HostEvent.RequestReceived(from, send.message());
                at(nowNanos + MESSAGE_NANOS, () -> cores.get(to).on(nowNanos, event));
            }
            case HostAction.ReadStore read -> answer(host, read.ticket(), read);
            case HostAction.CompareAndSwap swap -> answer(host, swap.ticket(), swap);
            default -> throw new IllegalStateException("unexpected: " + action);
        }
    }

    private void answer(int host, long ticket, HostAction action) {
        at(
                nowNanos + STORE_NANOS / 2,
                () -> {
                    HostEvent.StoreAnswer answer = store.apply(action);
                    at(
                            nowNanos + STORE_NANOS / 2,
                            () ->
                                    cores.get(host)
                                            .on(
                                                    nowNanos,
                                                    new HostEvent.StoreAnswered(ticket, answer)));
                });
    }

    private void at(long atNanos, Runnable action) {
        scheduled.add(new ScheduledAction(atNanos, nextOrder++, action));
    }
}
