package org.orioleshed.dispatch;

/**
 * Measures the time that the scheduler needs for each run, by the number of servers in the pool.
 * Run manually.
 */
public final class SchedulerCost {
    private static final int SLOTS = 8;
    private static final int ROUNDS = 20_000;
    private static final int[] SERVERS = {13, 100, 333, 1_000, 3_000};

    private SchedulerCost() {}

    /** Runs the measurement. */
    public static void main(String[] arguments) {
        for (int servers : SERVERS) {
            SchedulerFixture fixture = new SchedulerFixture();
            for (int server = 0; server < servers; server++) {
                fixture.server("s" + server, SLOTS);
            }
            int run = 1;
            int running = servers * SLOTS / 2;
            while (run <= running) {
                fixture.request(run++, 0);
            }
            var unused = measure(fixture, run, ROUNDS / 10);
            long nanos = measure(fixture, run + ROUNDS, ROUNDS);
            System.out.printf("servers=%d us_per_run=%.1f%n", servers, nanos / 1e3 / ROUNDS);
        }
    }

    private static long measure(SchedulerFixture fixture, int first, int rounds) {
        long start = System.nanoTime();
        for (int run = first; run < first + rounds; run++) {
            fixture.actions.clear();
            fixture.request(run, run % 3);
            fixture.first(run, 60);
            fixture.end(run, RunReport.Outcome.ANSWERED);
        }
        return System.nanoTime() - start;
    }
}
