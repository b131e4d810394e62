import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Entry hosts as separate processes, each at a loopback address of its own, started with the command
 * of deploy/system.toml and settings like those of the sheet of rivercabin-fleet.
 */
final class Fleet implements AutoCloseable {
    static final int FRONT = 0;
    static final int READY = 1;
    static final int CONTROL = 2;
    static final int PEER = 3;
    private static final long START = System.nanoTime();

    /** One host and its process. */
    static final class Host {
        final String name;
        final String ip;
        final String zone;
        final Path settings;
        final Path log;
        Process process;

        Host(String name, String ip, String zone, Path folder) {
            this.name = name;
            this.ip = ip;
            this.zone = zone;
            this.settings = folder.resolve(name + ".json");
            this.log = folder.resolve(name + ".log");
        }
    }

    /** The memory that the settings state, in MB; as on the sheet of rivercabin-fleet. */
    int memoryMb = 430;

    final Path folder;
    final List<Host> hosts = new ArrayList<>();
    final int[] ports;
    private final List<String> command;
    private final PrintWriter record;

    /** Returns the time since the start of the script, in milliseconds. */
    static long millis() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    /**
     * Prepares hosts.
     *
     * @param recordFile the record that the script leaves
     * @param zones the zone of each host
     */
    Fleet(Path recordFile, List<String> zones) throws IOException {
        folder = Files.createTempDirectory("review-3-");
        record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
        command = command();
        int block = (int) (ProcessHandle.current().pid() % 200) + 20;
        List<String> ips = new ArrayList<>();
        for (int i = 0; i < zones.size(); i++) {
            ips.add("127." + block + "." + (int) (Math.random() * 200 + 20) + "." + (i + 1));
        }
        ports = freePorts(ips);
        for (int i = 0; i < zones.size(); i++) {
            hosts.add(new Host("front-" + (i + 1), ips.get(i), zones.get(i), folder));
        }
    }

    /** Returns the command of the deploy file, without the folder. */
    private static List<String> command() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                return List.of(line.substring(7, line.length() - 1).split(" "));
            }
        }
        throw new IOException("no run line in deploy/system.toml");
    }

    /** Returns seven ports in a row that are free at all addresses. */
    private static int[] freePorts(List<String> ips) throws IOException {
        for (int first = 21_000 + (int) (Math.random() * 9_000); first < 32_000; first += 10) {
            if (areFree(ips, first)) {
                return new int[] {first, first + 1, first + 2, first + 3};
            }
        }
        throw new IOException("no free ports");
    }

    private static boolean areFree(List<String> ips, int first) {
        for (String ip : ips) {
            for (int port = first; port < first + 7; port++) {
                try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
                    probe.setReuseAddress(true);
                } catch (IOException e) {
                    return false;
                }
            }
        }
        return true;
    }

    static int freePort(String ip) throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return probe.getLocalPort();
        }
    }

    /** Writes the settings and starts all hosts. */
    void start(String storeAddress) throws IOException {
        start(storeAddress, hosts.stream().limit(3).map(it -> it.ip).toList());
    }

    void start(String storeAddress, List<String> seedIps) throws IOException {
        for (Host host : hosts) {
            settings(host, storeAddress, seedIps);
            start(host);
        }
    }

    void settings(Host host, String storeAddress, List<String> seedIps) throws IOException {
        String seeds =
                seedIps.stream()
                        .map(it -> "\"" + it + ":" + ports[CONTROL] + "\"")
                        .collect(Collectors.joining(","));
        String zones =
                hosts.stream()
                        .map(it -> it.zone)
                        .distinct()
                        .map(it -> "\"" + it + "\":\"viti-levu\"")
                        .collect(Collectors.joining(","));
        Files.writeString(
                host.settings,
                """
                {"node-name":"%1$s","role":"entry","machine-class":"front","serves":["front","control"],
                 "ip":"%2$s","zone":"%3$s","region":"viti-levu","zones":{%4$s},
                 "listen":{"front":"%2$s:%5$d","ready":"%2$s:%6$d","control":"%2$s:%7$d"},
                 "port-range":[%8$d,%9$d],"seeds":[%10$s],"first-start":true,"loss-counted":false,
                 "limits":{"cpu-share":0.75,"cores":1,"memory-mb":%12$d,"max-fds":4100,
                           "link-mbps":1000.0,"disk-mb":0},
                 "discovery":"platform","entry":"virtual_ip","heartbeat-ms":1200,
                 "contracts":["base","drain","config","cost","retry","recover","engine","stream",
                              "tenants","quota","rollout","platform"],
                 "fault-tolerance":{"machines":2,"zones":1,"regions":0},
                 "bounds":{"seed-lag-s":3,"reuse-s":2,"stable-ms":3000,"ack-ms":4000,"sync-s":4,
                           "drain-ms":2000,"grace-s":8,"loss-slack-ms":200,"config-apply-ms":2000,
                           "revert-slack-ms":250,"max-stretch-ms":5000,"strict-revoke":false,
                           "revoke-ms":5000,"retry-ratio":0.2,"retry-window-s":10,"retry-slack":56,
                           "quota-window-s":8,"quota-over":0.1,"quota-slack":140000,
                           "expose-share":0.1,"expose-slack":50,"rollback-ms":5000,"recover-s":12,
                           "pass-ms":120,"retry-after-s":10},
                 "platform":{"address":"%11$s","form":"kv","writes-per-s":400,"reads-per-s":2000,
                             "history-s":20,"value-bytes":1048576,"ttl-min-ms":1000}}
                """
                        .formatted(
                                host.name,
                                host.ip,
                                host.zone,
                                zones,
                                ports[FRONT],
                                ports[READY],
                                ports[CONTROL],
                                ports[PEER],
                                ports[PEER] + 3,
                                seeds,
                                storeAddress,
                                memoryMb));
    }

    void start(Host host) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("ORIOLESHED_BOOT", host.settings.toString());
        builder.environment().remove("JAVA_TOOL_OPTIONS");
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(host.log.toFile()));
        host.process = builder.start();
        note("host %s (%s, %s) started", host.name, host.ip, host.zone);
    }

    /** Sends a signal to a host's process. */
    void signal(Host host, String name) throws IOException, InterruptedException {
        note("host %s gets SIG%s", host.name, name);
        new ProcessBuilder("kill", "-" + name, Long.toString(host.process.pid())).start().waitFor();
    }

    InetSocketAddress front(Host host) {
        return new InetSocketAddress(host.ip, ports[FRONT]);
    }

    /** Waits until all hosts say that they are ready; returns false if they don't in time. */
    boolean awaitReady(long maxMillis) throws InterruptedException {
        long end = millis() + maxMillis;
        while (millis() < end) {
            if (hosts.stream().allMatch(this::isReady)) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    boolean isReady(Host host) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host.ip, ports[READY]), 500);
            socket.setSoTimeout(1_000);
            socket.getOutputStream()
                    .write(
                            "GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                                    .getBytes(StandardCharsets.US_ASCII));
            String line = WorkerStandin.line(socket.getInputStream());
            return line != null && line.contains(" 200");
        } catch (IOException e) {
            return false;
        }
    }

    /** Writes a line to the record. */
    void note(String format, Object... values) {
        synchronized (record) {
            record.println(String.format("%7d ms  ", millis()) + String.format(format, values));
        }
    }

    /** Returns the lines of a host's log that contain a text. */
    List<String> logLines(Host host, String text) throws IOException {
        try (Stream<String> lines = Files.lines(host.log)) {
            return lines.filter(line -> line.contains(text)).toList();
        }
    }

    private void killAll() {
        for (Host host : hosts) {
            if (host.process != null) {
                host.process.destroyForcibly();
            }
        }
    }

    @Override
    public void close() throws IOException {
        killAll();
        for (Host host : hosts) {
            try {
                if (host.process != null) {
                    host.process.waitFor(5, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP_LOGS") != null) {
            System.err.println("logs in " + folder);
            return;
        }
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }
}
