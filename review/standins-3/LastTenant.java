import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Case 14 (CONFIG): a manifest takes away the last tenant; its list of tenants is empty. With
 * TROUBLE=0 another tenant stays.
 */
final class LastTenant {
    private static final long APPLY_MILLIS = 2_000;
    private static final long WATCHED_MILLIS = 8_000;

    private LastTenant() {}

    private static String manifest(int version, String tenants) {
        return """
            {"version":%d,
             "routes":[{"name":"r-1","host":"desk.example","prefix":"/docs/","kind":"non_idempotent",
               "timeout-ms":3000,"target-latency-ms":600,"priority":0,"service":"desk",
               "attempts":1,"public":false,"sticky":false,"resumable":false}],
             "services":[{"name":"desk","health-path":"/health","max-conns":110,"protocol":"h1",
               "tls":false}],
             "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,
               "header-timeout-ms":3000,"idle-timeout-ms":15000},
             "tenants":[%s]}
            """
                .formatted(version, tenants);
    }

    private static String tenant(String name, String key) {
        return ("{\"name\":\"%s\",\"api-keys\":[\"%s\"],\"priority\":1,\"unit\":\"tokens\","
                        + "\"plain-tokens\":200,\"rate-per-s\":293434,\"burst\":293434}")
                .formatted(name, key);
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
        try (Fleet fleet = new Fleet(record, List.of("suva-a", "suva-b", "nausori", "navua"))) {
            int storePort = Fleet.freePort(ip);
            StoreStandin store = new StoreStandin(ip, storePort);
            List<WorkerStandin> workers = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                WorkerStandin worker =
                        new WorkerStandin(
                                "i-" + i, ip, Fleet.freePort(ip), 6, WorkerStandin.plain(() -> 15));
                workers.add(worker);
                store.put("servers/" + worker.id, worker.entry("desk", "suva-a", "v1", "ready"));
            }
            String first = tenant("t1", "key-dropped");
            String second = tenant("t2", "key-kept");
            store.put("op/config", manifest(7, trouble ? first : first + "," + second));
            fleet.start(ip + ":" + storePort);
            if (!fleet.awaitReady(30_000)) {
                fleet.note("the hosts are not ready: the case could not run");
                return 2;
            }
            Thread.sleep(5_000);
            for (Fleet.Host host : fleet.hosts) {
                int held = ask(fleet, host, "key-dropped", "before-held-" + host.name);
                int never = ask(fleet, host, "key-never", "before-never-" + host.name);
                fleet.note(
                        "before the change, %s answers the tenant's key with %d, a key that no"
                                + " manifest holds with %d",
                        host.name, held, never);
                if (held != 200 || never != 401) {
                    return 2;
                }
            }
            store.put("op/config", manifest(8, trouble ? "" : second));
            fleet.note("version 8 is acknowledged: tenants [%s]", trouble ? "" : "t2");
            return watch(fleet, workers, Fleet.millis());
        }
    }

    private static int watch(Fleet fleet, List<WorkerStandin> workers, long ackMillis)
            throws InterruptedException, IOException {
        Map<String, Long> askedMillis = new TreeMap<>();
        for (int round = 1; Fleet.millis() - ackMillis < WATCHED_MILLIS; round++) {
            for (Fleet.Host host : fleet.hosts) {
                for (String key : List.of("key-dropped", "key-never")) {
                    String id = "%s-%d-%s".formatted(key, round, host.name);
                    long age = Fleet.millis() - ackMillis;
                    askedMillis.put(id, age);
                    fleet.note(
                            "%d ms after the ack, %s answers request %s with %d",
                            age, host.name, id, ask(fleet, host, key, id));
                }
            }
            Thread.sleep(300);
        }
        int dropped = 0;
        int never = 0;
        for (WorkerStandin worker : workers) {
            for (WorkerStandin.Run run : worker.runs()) {
                if (askedMillis.getOrDefault(run.id, -1L) > APPLY_MILLIS) {
                    dropped += run.id.startsWith("key-dropped") ? 1 : 0;
                    never += run.id.startsWith("key-never") ? 1 : 0;
                    fleet.note(
                            "worker %s ran %s, sent %d ms after the ack",
                            worker.id, run.id, askedMillis.get(run.id));
                }
            }
        }
        fleet.note(
                "requests sent over %d ms after the ack and run: with the dropped key %d (CONFIG), with"
                        + " a key that no manifest ever held %d (ROUTE)",
                APPLY_MILLIS, dropped, never);
        System.out.println("run with the dropped key=" + dropped + " with a key never held=" + never);
        return dropped + never > 0 ? 1 : 0;
    }

    private static int ask(Fleet fleet, Fleet.Host host, String key, String id) throws IOException {
        try (Caller caller = new Caller(fleet.front(host), 5_000)) {
            caller.sendHead(
                    "POST /docs/x HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: "
                            + id
                            + "\r\nX-Deadline-Ms: 3000\r\nContent-Length: 0\r\nApi-Key: "
                            + key
                            + "\r\n\r\n");
            return caller.answer().status();
        }
    }
}
