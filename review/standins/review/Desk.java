package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;

/** A small deployment like the pass desk's: six entry hosts in three zones, a store and workers. */
final class Desk implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    private static final String STORE_IP = "127.0.0.9";
    private static final String WORKER_IP = "127.0.0.10";
    private static final String[] HOST_ZONES = {
        "north-a", "north-a", "north-a", "north-b", "north-b", "north-c"
    };

    final Record record;
    final StoreStandIn store;
    final List<Proxy> proxies = new ArrayList<>();
    final List<Host> hosts = new ArrayList<>();
    final List<Worker> workers = new ArrayList<>();
    private final Path folder = Files.createTempDirectory("review");

    /** Makes the deployment; each host reaches the store through a proxy of its own. */
    Desk(Path caseFolder) throws IOException {
        record = new Record(caseFolder.resolve("record.txt"));
        store = new StoreStandIn(STORE_IP);
        int basePort = freePorts();
        for (int i = 0; i < HOST_ZONES.length; i++) {
            Proxy proxy = new Proxy(STORE_IP, 0, new InetSocketAddress(STORE_IP, store.port()));
            proxies.add(proxy);
            hosts.add(
                    new Host(
                            folder,
                            "front-" + HOST_ZONES[i] + "-" + i,
                            HOST_ZONES[i],
                            ip(i),
                            basePort,
                            List.of(ip(0), ip(3), ip(5)),
                            new InetSocketAddress(STORE_IP, proxy.port())));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    private static String ip(int host) {
        return "127.0.0." + (11 + host);
    }

    private static int freePorts() throws IOException {
        for (int attempt = 0; attempt < 100; attempt++) {
            int base = ThreadLocalRandom.current().nextInt(10_000, 30_000);
            if (areFree(base)) {
                return base;
            }
        }
        throw new IOException("no free ports");
    }

    private static boolean areFree(int base) {
        for (int host = 0; host < HOST_ZONES.length; host++) {
            for (int port : new int[] {base, base + 1, base + 2, base + 10, base + 11, base + 12}) {
                try (ServerSocket socket = new ServerSocket()) {
                    socket.bind(new InetSocketAddress(ip(host), port));
                } catch (IOException e) {
                    return false;
                }
            }
        }
        return true;
    }

    Worker addWorker(String id, String service, String zone, int slots) throws IOException {
        Worker worker = new Worker(record, id, service, zone, WORKER_IP, slots);
        workers.add(worker);
        store.put("servers/" + id, worker.entry("ready"));
        return worker;
    }

    /** Writes a manifest; the store's answer is its acknowledgement. */
    void writeConfig(int version, String routes, String tenants) {
        store.put(
                "op/config",
                """
                {"version":%d,"routes":[%s],"services":[
                {"name":"pass-core","health-path":"/health","max-conns":96,"protocol":"http1"},
                {"name":"pass-other","health-path":"/health","max-conns":96,"protocol":"http1"},
                {"name":"model-desk","health-path":"/health","max-conns":360,"protocol":"http1",
                "engine":{"kv-capacity":432820,"stride":6}}],
                "tenants":[%s],
                "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,
                "header-timeout-ms":5000,"idle-timeout-ms":30000}}
                """
                        .formatted(version, routes, tenants));
        record.add("operator config version=%d acknowledged".formatted(version));
    }

    static String route(String name, String service, String kind, int attempts, int timeoutMillis) {
        return """
               {"name":"%1$s","host":"desk.example","prefix":"/%1$s/","service":"%2$s",\
               "kind":"%3$s","timeout-ms":%5$d,"target-latency-ms":150,"attempts":%4$d,\
               "priority":1,"public":false}"""
                .formatted(name, service, kind, attempts, timeoutMillis);
    }

    static String tenant(String name, String... keys) {
        return """
               {"name":"%s","api-keys":["%s"],"rate-per-s":0,"burst":0,"unit":"tokens",\
               "plain-tokens":200}"""
                .formatted(name, String.join("\",\"", keys));
    }

    /** Starts all hosts and waits until they are ready; returns false if they are not in time. */
    boolean start(double untilSeconds) throws IOException, InterruptedException {
        for (Host host : hosts) {
            host.start();
        }
        while (Record.seconds() < untilSeconds) {
            if (hosts.stream().allMatch(Host::isReady)) {
                record.add("all hosts are ready");
                return true;
            }
            Thread.sleep(100);
        }
        record.add("hosts are not ready in time");
        return false;
    }

    /** Ends all processes that were started. */
    @Override
    public void close() {
        for (Host host : hosts) {
            try {
                host.kill();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP") != null) {
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        } catch (IOException e) {
            // Left to the system's clean-up of temporary files.
        }
    }

    /** Returns whether the disruption is to be applied. */
    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }
}
