package review;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One entry host: a process started with the command of the deploy file. */
final class Host {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

    private final String name;
    private final String ip;
    private final int basePort;
    private final Path settings;
    private final Path log;
    private Process process;

    /**
     * Prepares a host.
     *
     * @param basePort the first of the ports that all hosts use, each on its own address
     */
    Host(
            Path folder,
            String name,
            String zone,
            String ip,
            int basePort,
            List<String> seedIps,
            InetSocketAddress store)
            throws IOException {
        this.name = name;
        this.ip = ip;
        this.basePort = basePort;
        this.settings = folder.resolve(name + ".json");
        this.log = folder.resolve(name + ".log");
        List<String> seeds = new ArrayList<>();
        seedIps.forEach(seed -> seeds.add("\"" + seed + ":" + (basePort + 2) + "\""));
        Files.writeString(
                settings,
                """
                {"node-name":"%1$s","role":"entry","machine-class":"front",
                "serves":["front","control"],"ip":"%2$s","zone":"%3$s","region":"th-north",
                "port-range":[%4$d,%5$d],"seeds":[%6$s],"first-start":true,"loss-counted":false,
                "discovery":"platform","entry":"virtual_ip","heartbeat-ms":1200,
                "contracts":["base","drain","config","cost","retry","recover","engine","stream",
                "tenants","quota","rollout","platform"],
                "zones":{"north-a":"th-north","north-b":"th-north","north-c":"th-north"},
                "listen":{"front":"%2$s:%7$d","ready":"%2$s:%8$d","control":"%2$s:%9$d"},
                "limits":{"cpu-share":0.75,"cores":1,"memory-mb":280,"max-fds":4100,
                "link-mbps":1000.0,"disk-mb":0},
                "fault-tolerance":{"machines":2,"zones":1,"regions":0},
                "bounds":{"seed-lag-s":3,"reuse-s":2,"stable-ms":3000,"ack-ms":4000,"sync-s":4,
                "drain-ms":2000,"grace-s":8,"loss-slack-ms":200,"config-apply-ms":2000,
                "revert-slack-ms":250,"max-stretch-ms":5000,"strict-revoke":false,
                "revoke-ms":5000,"retry-ratio":0.2,"retry-window-s":10,"retry-slack":52,
                "quota-window-s":8,"quota-over":0.1,"quota-slack":140000,"expose-share":0.1,
                "expose-slack":50,"rollback-ms":5000,"recover-s":12,"pass-ms":120,
                "retry-after-s":8.7},
                "platform":{"address":"%10$s:%11$d","form":"kv","writes-per-s":400,
                "reads-per-s":2000,"history-s":20,"value-bytes":1048576,"ttl-min-ms":1000}}
                """
                        .formatted(
                                name,
                                ip,
                                zone,
                                basePort + 10,
                                basePort + 25,
                                String.join(",", seeds),
                                basePort,
                                basePort + 1,
                                basePort + 2,
                                store.getAddress().getHostAddress(),
                                store.getPort()));
    }

    String name() {
        return name;
    }

    InetSocketAddress front() {
        return new InetSocketAddress(ip, basePort);
    }

    /** Starts the process with the command of the deploy file, in the repository's root. */
    void start() throws IOException {
        Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no run line");
        }
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        builder.environment().put("ORIOLESHED_BOOT", settings.toAbsolutePath().toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(log.toString())));
        process = builder.start();
    }

    /** Kills the process at once, as a loss of power would. */
    void kill() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly();
            process.waitFor(5, TimeUnit.SECONDS);
        }
    }

    /** Sends SIGTERM, as the platform does to stop a machine's process. */
    void terminate() {
        process.destroy();
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    /** Returns the process's log so far. */
    String log() throws IOException {
        return Files.readString(log);
    }

    /** Returns whether the host says that it is ready. */
    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, basePort + 1), 500);
            socket.setSoTimeout(1_000);
            socket.getOutputStream()
                    .write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n".getBytes("US-ASCII"));
            Http.Message answer = Http.readHead(socket.getInputStream());
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }
}
