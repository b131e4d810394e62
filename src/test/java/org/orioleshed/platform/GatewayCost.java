package org.orioleshed.platform;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.concurrent.atomic.AtomicLong;

/** Measures the data thread's processor time per request; run manually. */
public final class GatewayCost {
    private static final int CALLERS = 40;
    private static final int EVENTS = 60;
    private static final long PAUSE_MILLIS = 10;
    private static final long SECONDS = 10;
    private static final long QUOTA_PER_SECOND = 100_000_000;

    private GatewayCost() {}

    /** Runs the measurement. */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        AtomicLong answered = new AtomicLong();
        try (Fleet fleet = new Fleet(30_000, QUOTA_PER_SECOND)) {
            fleet.store.put("servers/i-1", fleet.first.entry("pool", CALLERS));
            fleet.first.script(WorkerFake.Script.streaming(1, EVENTS, PAUSE_MILLIS));
            for (int caller = 0; caller < CALLERS; caller++) {
                int name = caller;
                Thread.ofVirtual().start(() -> call(fleet, name, answered));
            }
            for (long second = 1; second <= SECONDS; second++) {
                long before = dataThreadMicros();
                long requestsBefore = answered.get();
                Thread.sleep(1_000);
                long requests = answered.get() - requestsBefore;
                long micros = dataThreadMicros() - before;
                System.out.printf(
                        "second=%d requests=%d cpu_ms=%d cpu_us_per_request=%d%n",
                        second, requests, micros / 1_000, requests == 0 ? 0 : micros / requests);
            }
        }
        System.exit(0);
    }

    private static void call(Fleet fleet, int name, AtomicLong answered) {
        for (int i = 0; ; i++) {
            try {
                var unused = fleet.send(Fleet.request("/s/x", "r" + name + "-" + i, "x"));
                answered.incrementAndGet();
            } catch (IOException e) {
                return;
            }
        }
    }

    private static long dataThreadMicros() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long nanos = 0;
        for (long id : threads.getAllThreadIds()) {
            var info = threads.getThreadInfo(id);
            if (info != null && info.getThreadName().startsWith("multiThreadIoEventLoopGroup-3")) {
                nanos += threads.getThreadCpuTime(id);
            }
        }
        return nanos / 1_000;
    }
}
