package org.orioleshed.dispatch;

/** Measures what a placed run costs the primary, by the servers of its pool; run by hand. */
public final class SchedulerCost {
    private static final int SLOTS = 8;
    private static final int ROUNDS = 20_000;
    private static final int[] SERVERS = {13, 100, 333, 1_000, 3_000};

    private SchedulerCost() {}

    /** Runs the measurement. */
    public static void main(String[] arguments) {
        for (int servers : SERVERS) {
            Pools pools = new Pools();
            for (int server = 0; server < servers; server++) {
                pools.server("s" + server, SLOTS);
            }
            int run = 1;
            int running = servers * SLOTS / 2;
            while (run <= running) {
                pools.request(run++, 0);
            }
            var unused = measure(pools, run, ROUNDS / 10);
            long nanos = measure(pools, run + ROUNDS, ROUNDS);
            System.out.printf("servers=%d us_per_run=%.1f%n", servers, nanos / 1e3 / ROUNDS);
        }
    }

    private static long measure(Pools pools, int first, int rounds) {
        long start = System.nanoTime();
        for (int run = first; run < first + rounds; run++) {
            pools.actions.clear();
            pools.request(run, run % 3);
            pools.first(run, 60);
            pools.end(run, RunReport.Outcome.ANSWERED);
        }
        return System.nanoTime() - start;
    }
}
