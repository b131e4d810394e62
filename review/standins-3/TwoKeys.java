import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Case 12 (CONFIG): the operator orders a rollout and writes a manifest, which drops a key and adds
 * many routes, in one transaction of the store. With TROUBLE=0 it writes them one after the other.
 */
final class TwoKeys {
    private static final long APPLY_MILLIS = 2_000;
    private static final long WATCHED_MILLIS = 12_000;
    private static final int ADDED_ROUTES = 1_500;

    private TwoKeys() {}

    static String manifest(int version, int routes, String keys) {
        StringBuilder more = new StringBuilder();
        for (int i = 0; i < routes; i++) {
            more.append(
                    """
                    ,{"name":"r-more-%1$d","host":"more%2$d.example","prefix":"/a%1$d/",
                    "kind":"idempotent","timeout-ms":12000,"target-latency-ms":600,"priority":1,
                    "service":"desk","attempts":1,"public":false,"sticky":false,"resumable":false}
                    """
                            .formatted(i, i % 40)
                            .replace("\n", ""));
        }
        return """
            {"version":%d,
             "routes":[{"name":"r-1","host":"desk.example","prefix":"/docs/","kind":"idempotent",
               "timeout-ms":12000,"target-latency-ms":600,"priority":0,"service":"desk",
               "attempts":1,"public":false,"sticky":false,"resumable":false}%s],
             "services":[{"name":"desk","health-path":"/health","max-conns":110,"protocol":"h1",
               "tls":false}],
             "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,
               "header-timeout-ms":3000,"idle-timeout-ms":15000},
             "tenants":[{"name":"t1","api-keys":[%s],"priority":1,"unit":"tokens",
               "plain-tokens":200,"rate-per-s":293434,"burst":293434}]}
            """
                .formatted(version, more, keys);
    }

    public static void main(String[] arguments) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try {
            status = run(Path.of(arguments[0]), trouble);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    private static int run(Path record, boolean trouble) throws Exception {
        String ip = "127.0.0.1";
        // As on the sheet of rivercabin-fleet: 3, 1, 2 and 2 hosts in four zones.
        List<String> zones =
                List.of("suva-a", "suva-a", "suva-a", "suva-b", "nausori", "nausori", "navua", "navua");
        try (Fleet fleet = new Fleet(record, zones)) {
            int storePort = Fleet.freePort(ip);
            StoreStandin store = new StoreStandin(ip, storePort);
            List<WorkerStandin> workers = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                WorkerStandin worker =
                        new WorkerStandin(
                                "i-" + i, ip, Fleet.freePort(ip), 6, WorkerStandin.plain(() -> 15));
                workers.add(worker);
                store.put(
                        "servers/" + worker.id,
                        worker.entry("desk", "suva-a", i < 4 ? "v1" : "v2", "ready"));
            }
            store.put("op/config", manifest(7, 10, "\"key-dropped\",\"key-kept\""));
            fleet.start(ip + ":" + storePort);
            if (!fleet.awaitReady(40_000)) {
                fleet.note("the hosts are not ready: the case could not run");
                return 2;
            }
            // The hosts have found one another and are in touch.
            Thread.sleep(5_000);
            for (Fleet.Host host : fleet.hosts) {
                int status = ask(fleet, host, "key-dropped", "before-" + host.name);
                fleet.note("before the change, %s answers the key with %d", host.name, status);
                if (status != 200) {
                    return 2;
                }
            }
            String order = "{\"service\":\"desk\",\"target\":\"v2\",\"duration-s\":12}";
            String config = manifest(8, ADDED_ROUTES, "\"key-kept\"");
            if (trouble) {
                long revision = store.put("op/rollout/desk", order, "op/config", config);
                fleet.note(
                        "one transaction, revision %d: op/rollout/desk and op/config (%d bytes)",
                        revision, config.length());
            } else {
                long first = store.put("op/rollout/desk", order);
                long second = store.put("op/config", config);
                fleet.note(
                        "two calls, revisions %d and %d: op/rollout/desk, then op/config (%d bytes)",
                        first, second, config.length());
            }
            return watch(fleet, workers, Fleet.millis());
        }
    }

    private static int watch(Fleet fleet, List<WorkerStandin> workers, long ackMillis)
            throws InterruptedException, IOException {
        Map<String, Long> askedMillis = new TreeMap<>();
        int round = 0;
        while (Fleet.millis() - ackMillis < WATCHED_MILLIS) {
            round++;
            for (Fleet.Host host : fleet.hosts) {
                String id = "q%d-%s".formatted(round, host.name);
                long age = Fleet.millis() - ackMillis;
                askedMillis.put(id, age);
                int status = ask(fleet, host, "key-dropped", id);
                int kept = ask(fleet, host, "key-kept", "kept-" + id);
                fleet.note(
                        "%d ms after the ack, %s answers the dropped key with %d (request %s), the"
                                + " kept one with %d",
                        age, host.name, status, id, kept);
            }
            Thread.sleep(300);
        }
        int broken = 0;
        TreeSet<String> hosts = new TreeSet<>();
        for (WorkerStandin worker : workers) {
            for (WorkerStandin.Run run : worker.runs()) {
                long age = askedMillis.getOrDefault(run.id, -1L);
                if (age > APPLY_MILLIS) {
                    broken++;
                    hosts.add(run.id.substring(run.id.indexOf('-') + 1));
                    fleet.note(
                            "CONFIG: worker %s ran %s, sent with the dropped key %d ms after the ack",
                            worker.id, run.id, age);
                }
            }
        }
        fleet.note(
                "requests with the dropped key, sent over %d ms after the ack and run: %d, from %s",
                APPLY_MILLIS, broken, hosts);
        System.out.println("run with a dropped key=" + broken + " from " + hosts);
        return broken > 0 ? 1 : 0;
    }

    private static int ask(Fleet fleet, Fleet.Host host, String key, String id) throws IOException {
        try (Caller caller = new Caller(fleet.front(host), 5_000)) {
            caller.sendHead(
                    "GET /docs/x HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: "
                            + id
                            + "\r\nX-Deadline-Ms: 3000\r\nApi-Key: "
                            + key
                            + "\r\n\r\n");
            return caller.answer().status();
        }
    }
}
