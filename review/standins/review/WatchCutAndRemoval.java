package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * All waiting watches are cut once; the store serves on. While hosts still count this as an outage,
 * a worker leaves whose entry is removed without a report that it drains.
 */
final class WatchCutAndRemoval {
    private static final double DRAIN_SECONDS = 2;

    /** Checked only this much later than the bound, so that no delay of the stand-ins counts. */
    private static final double MARGIN_SECONDS = 0.03;

    public static void main(String[] arguments) throws Exception {
        try (Desk desk = new Desk(Path.of(arguments[0]))) {
            System.exit(run(desk));
        }
    }

    private static int run(Desk desk) throws Exception {
        for (int i = 0; i < 3; i++) {
            desk.addWorker("w-core-" + i, "pass-core", "north-" + "abc".charAt(i), 6).works(20);
        }
        desk.writeConfig(
                10,
                Desk.route("issue", "pass-core", "non_idempotent", 1, 800),
                Desk.tenant("city", "key"));
        if (!desk.start(25)) {
            return Desk.COULD_NOT_RUN;
        }
        double start = Record.seconds();
        double end = start + 14;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < 24; i++) {
            Host host = desk.hosts.get(i % desk.hosts.size());
            threads.add(Thread.ofVirtual().start(() -> callAll(desk, host, end)));
        }
        Record.sleepUntil(start + 6);
        if (Desk.trouble()) {
            desk.store.cutWatches();
            desk.record.add("trouble: all waiting watches are cut");
        }
        Record.sleepUntil(start + 7.4);
        desk.addWorker("w-core-3", "pass-core", "north-a", 6).works(20);
        desk.record.add("worker w-core-3 registers");
        Thread.sleep(20);
        Worker leaving = desk.workers.get(0);
        desk.store.remove("servers/" + leaving.id());
        double removed = Record.seconds();
        desk.record.add("worker " + leaving.id() + " is removed; it serves on");
        for (Thread thread : threads) {
            thread.join();
        }
        double from = removed + DRAIN_SECONDS + MARGIN_SECONDS;
        long late = leaving.runsFrom(from);
        desk.record.add(
                "result: %d runs at %s before, %d reached it later than %.3f, the last at %.3f"
                        .formatted(
                                leaving.runsFrom(0) - late,
                                leaving.id(),
                                late,
                                from,
                                leaving.lastRunSeconds()));
        if (leaving.runsFrom(0) - late < 50) {
            return Desk.COULD_NOT_RUN;
        }
        return late > 0 ? Desk.BROKEN : Desk.HELD;
    }

    private static void callAll(Desk desk, Host host, double end) {
        try (Requester requester = new Requester(desk.record, host.front(), "key")) {
            while (Record.seconds() < end) {
                requester.send("POST", "/issue/1", new byte[100], 1_500);
                Thread.sleep(80);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
