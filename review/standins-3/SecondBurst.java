import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Case 15 (QUOTA): a tenant whose burst is many times its rate uses it up; all processes are killed at
 * once and start again; the tenant goes on. With TROUBLE=0 nothing is killed.
 */
final class SecondBurst {
    private static final int TOKENS = 5_000;
    private static final double RATE = 20_000;
    private static final double BURST = 1_000_000;

    /** As in the settings: quota-window-s, quota-over, quota-slack. */
    private static final long WINDOW_MILLIS = 8_000;

    private static final double OVER = 0.1;
    private static final double SLACK = 140_000;
    private static final double ALLOWED = (RATE * WINDOW_MILLIS / 1_000 + BURST) * (1 + OVER) + SLACK;

    private static final long PRESS_FROM_MILLIS = 24_000;
    private static final long KILL_MILLIS = 27_000;
    private static final long END_MILLIS = 34_000;

    private static final String MANIFEST =
            """
            {"version":7,
             "routes":[{"name":"r-1","host":"desk.example","prefix":"/ask/","kind":"idempotent",
               "timeout-ms":3000,"target-latency-ms":600,"priority":0,"service":"desk",
               "attempts":1,"public":false,"sticky":false,"resumable":false}],
             "services":[{"name":"desk","health-path":"/health","max-conns":240,"protocol":"h1",
               "tls":false}],
             "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,
               "header-timeout-ms":3000,"idle-timeout-ms":15000},
             "tenants":[{"name":"t1","api-keys":["key-1"],"priority":0,"unit":"tokens",
               "plain-tokens":200,"rate-per-s":%d,"burst":%d}]}
            """
                    .formatted((int) RATE, (int) BURST);

    private final Map<String, Long> sentMillis = new ConcurrentHashMap<>();
    private final Map<Integer, Integer> statuses = new TreeMap<>();

    public static void main(String[] arguments) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try {
            status = new SecondBurst().run(Path.of(arguments[0]), trouble);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    private int run(Path record, boolean trouble) throws Exception {
        String ip = "127.0.0.1";
        List<String> zones = List.of("suva-a", "suva-b", "nausori", "navua");
        try (Fleet fleet = new Fleet(record, zones)) {
            int storePort = Fleet.freePort(ip);
            StoreStandin store = new StoreStandin(ip, storePort);
            List<WorkerStandin> workers = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                WorkerStandin worker =
                        new WorkerStandin(
                                "i-" + i, ip, Fleet.freePort(ip), 11, WorkerStandin.plain(() -> 20));
                workers.add(worker);
                store.put(
                        "servers/" + worker.id,
                        worker.entry("desk", zones.get(i % 4), "v1", "ready"));
            }
            store.put("op/config", MANIFEST);
            long begin = Fleet.millis();
            fleet.start(ip + ":" + storePort);
            if (!fleet.awaitReady(15_000)) {
                fleet.note("the hosts are not ready: the case could not run");
                return 2;
            }
            // The allowance fills up meanwhile.
            pauseUntil(begin + PRESS_FROM_MILLIS);
            fleet.note("the tenant begins to press at all hosts");
            List<Thread> threads = press(fleet, begin + END_MILLIS);
            pauseUntil(begin + KILL_MILLIS);
            if (trouble) {
                for (Fleet.Host host : fleet.hosts) {
                    fleet.signal(host, "KILL");
                }
                for (Fleet.Host host : fleet.hosts) {
                    host.process.waitFor();
                    fleet.start(host);
                }
            }
            for (Thread thread : threads) {
                thread.join();
            }
            return judge(fleet, workers);
        }
    }

    private static void pauseUntil(long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis - Fleet.millis()));
    }

    private List<Thread> press(Fleet fleet, long endMillis) {
        List<Thread> threads = new ArrayList<>();
        for (Fleet.Host host : fleet.hosts) {
            for (int i = 0; i < 8; i++) {
                String name = host.name + "-" + i + "-";
                threads.add(Thread.ofPlatform().start(() -> ask(fleet, host, name, endMillis)));
            }
        }
        return threads;
    }

    private void ask(Fleet fleet, Fleet.Host host, String name, long endMillis) {
        Caller caller = null;
        for (int count = 1; Fleet.millis() < endMillis; count++) {
            String id = name + count;
            long now = Fleet.millis();
            sentMillis.put(id, now);
            int status = 0;
            try {
                if (caller == null) {
                    caller = new Caller(fleet.front(host), 5_000);
                }
                caller.sendHead(
                        "GET /ask/x HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: "
                                + id
                                + "\r\nX-Deadline-Ms: 3000\r\nX-Token-Counts: 4000,1000\r\n"
                                + "Api-Key: key-1\r\n\r\n");
                status = caller.answer().status();
            } catch (IOException e) {
                // The host is down; it is tried again.
            }
            if (status == 0 && caller != null) {
                caller.close();
                caller = null;
            }
            synchronized (statuses) {
                statuses.merge(status, 1, Integer::sum);
            }
            try {
                Thread.sleep(Math.max(0, now + 100 - Fleet.millis()));
            } catch (InterruptedException e) {
                return;
            }
        }
        if (caller != null) {
            caller.close();
        }
    }

    /** Finds the window in which most tokens were both sent and run. */
    private int judge(Fleet fleet, List<WorkerStandin> workers) throws IOException {
        List<WorkerStandin.Run> runs = new ArrayList<>();
        Map<Long, Integer> bySecond = new TreeMap<>();
        for (WorkerStandin worker : workers) {
            for (WorkerStandin.Run run : worker.runs()) {
                runs.add(run);
                bySecond.merge(run.beganMillis / 1_000, TOKENS, Integer::sum);
                fleet.note(
                        "worker %s ran %s, sent at %d ms, from %d ms",
                        worker.id, run.id, sentMillis.get(run.id), run.beganMillis);
            }
        }
        double most = 0;
        long mostFrom = 0;
        for (WorkerStandin.Run first : runs) {
            long from = sentMillis.get(first.id);
            double tokens = 0;
            for (WorkerStandin.Run run : runs) {
                if (sentMillis.get(run.id) >= from && run.beganMillis < from + WINDOW_MILLIS) {
                    tokens += TOKENS;
                }
            }
            if (tokens > most) {
                most = tokens;
                mostFrom = from;
            }
        }
        fleet.note("tokens run in each second: %s", bySecond);
        fleet.note("answers by status (0: none, the host was down): %s", statuses);
        fleet.note(
                "most tokens of the tenant that were sent and run in %d ms: %.0f, from %d ms; allowed:"
                        + " %.0f",
                WINDOW_MILLIS, most, mostFrom, ALLOWED);
        System.out.println("most=" + most + " allowed=" + ALLOWED + " answers=" + statuses);
        return most > ALLOWED ? 1 : 0;
    }
}
