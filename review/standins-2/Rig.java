import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback: the platform's store, workers, requesters, and the project's own
 * program as separate processes, started with the run line of deploy/system.toml.
 */
final class Rig implements AutoCloseable {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final Path CASE = Path.of(System.getenv("CASE_DIR"));
    static final Path ROOT = Path.of(System.getenv("REPO_DIR"));

    final long startNanos = System.nanoTime();
    final Path temp;
    final PrintWriter record;
    final Store store;
    final List<Worker> workers = new CopyOnWriteArrayList<>();
    final List<Host> hosts = new ArrayList<>();
    final int frontPort;
    final int readyPort;
    final int controlPort;
    final int basePort;
    int memoryMb = 430;
    int maxFds = 4_100;

    Rig() throws IOException {
        temp = Files.createTempDirectory("review2-");
        record = new PrintWriter(Files.newBufferedWriter(CASE.resolve("record.txt")), true);
        store = new Store();
        int base = freeBase();
        frontPort = base;
        readyPort = base + 1;
        controlPort = base + 2;
        basePort = base + 3;
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    /** A run of eight ports that are free on the addresses of the hosts. */
    private static int freeBase() throws IOException {
        for (int attempt = 0; attempt < 200; attempt++) {
            int base = 20_000 + (int) (Math.random() * 1_000) * 8;
            boolean free = true;
            for (int host = 1; host <= 8 && free; host++) {
                for (int port = base; port < base + 8 && free; port++) {
                    try (ServerSocket probe = new ServerSocket()) {
                        probe.bind(new InetSocketAddress("127.0.9." + host, port));
                    } catch (IOException e) {
                        free = false;
                    }
                }
            }
            if (free) {
                return base;
            }
        }
        throw new IOException("no free ports");
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void note(String format, Object... arguments) {
        record.println("%6d ms  ".formatted(millis()) + format.formatted(arguments));
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static void spawn(Runnable task) {
        Thread.ofVirtual().start(task);
    }

    /** Ends the case: prints the verdict and exits. */
    void finish(int status, String verdict) {
        note("%s", verdict);
        System.out.println(verdict);
        close();
        System.exit(status);
    }

    /** Runs a case; a failure of the case itself exits with 2. */
    interface Body {
        void run(Rig rig) throws Exception;
    }

    static void play(Body body) {
        try {
            Rig rig = new Rig();
            try {
                body.run(rig);
            } catch (Throwable e) {
                e.printStackTrace();
                rig.finish(2, "COULD NOT RUN: " + e);
            }
        } catch (IOException e) {
            e.printStackTrace();
            System.exit(2);
        }
    }

    private void killAll() {
        hosts.forEach(host -> host.kill());
    }

    @Override
    public void close() {
        killAll();
        workers.forEach(Worker::close);
        store.close();
        try (var files = Files.walk(temp)) {
            files.sorted((a, b) -> b.compareTo(a)).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // The temporary folder remains.
        }
    }

    // ---------------------------------------------------------------- the program

    Host host(String zone) {
        Host host = new Host("front-" + zone + "-" + (hosts.size() + 1), "127.0.9." + (hosts.size() + 1), zone);
        hosts.add(host);
        return host;
    }

    /** One entry host. */
    final class Host {
        final String name;
        final String ip;
        final String zone;
        Process process;
        int starts;

        Host(String name, String ip, String zone) {
            this.name = name;
            this.ip = ip;
            this.zone = zone;
        }

        /** What the process prints. */
        Path log() {
            return ROOT.resolve("target/review-2/case-" + CASE.getFileName() + "-" + name + ".log");
        }

        private String settings() {
            List<String> seeds = new ArrayList<>();
            TreeMap<String, String> zones = new TreeMap<>();
            for (Host other : hosts) {
                zones.put(other.zone, "r1");
                if (seeds.size() < 3) {
                    seeds.add("\"" + other.ip + ":" + controlPort + "\"");
                }
            }
            StringBuilder zoneJson = new StringBuilder();
            zones.forEach((key, value) -> zoneJson.append(zoneJson.isEmpty() ? "" : ",").append("\"%s\":\"%s\"".formatted(key, value)));
            return """
                    {"node-name":"%s","role":"entry","machine-class":"front","serves":["front","control"],
                     "ip":"%s","zone":"%s","region":"r1","port-range":[%d,%d],"seeds":[%s],
                     "first-start":%s,"loss-counted":false,"discovery":"platform","entry":"virtual_ip","heartbeat-ms":1200,
                     "contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","rollout","platform"],
                     "zones":{%s},
                     "listen":{"front":"%s:%d","ready":"%s:%d","control":"%s:%d"},
                     "limits":{"cpu-share":0.75,"cores":1,"memory-mb":%d,"max-fds":%d,"link-mbps":1000.0,"disk-mb":0},
                     "fault-tolerance":{"machines":2,"zones":1,"regions":0},
                     "bounds":{"seed-lag-s":3,"reuse-s":2,"stable-ms":3000,"ack-ms":4000,"sync-s":4,"drain-ms":2000,
                       "grace-s":8,"loss-slack-ms":200,"config-apply-ms":2000,"revert-slack-ms":250,"max-stretch-ms":5000,
                       "strict-revoke":false,"revoke-ms":5000,"retry-ratio":0.2,"retry-window-s":10,"retry-slack":56,
                       "quota-window-s":8,"quota-over":0.1,"quota-slack":140000,"expose-share":0.1,"expose-slack":50,
                       "rollback-ms":5000,"recover-s":12,"pass-ms":120,"retry-after-s":10},
                     "platform":{"address":"127.0.0.1:%d","form":"kv","writes-per-s":400,"reads-per-s":2000,"history-s":20,
                       "value-bytes":1048576,"ttl-min-ms":1000}}
                    """
                    .formatted(name, ip, zone, basePort, basePort + 4, String.join(",", seeds), starts == 0, zoneJson,
                            ip, frontPort, ip, readyPort, ip, controlPort, memoryMb, maxFds, store.port());
        }

        void start() throws IOException {
            Path file = temp.resolve(name + ".json");
            Files.writeString(file, settings());
            starts++;
            String line = null;
            Matcher matcher = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(ROOT.resolve("deploy/system.toml")));
            if (matcher.find()) {
                line = matcher.group(1);
            }
            // The limit of max-fds holds for the process, as on the platform.
            String command = "ulimit -n " + maxFds + "; exec " + line.replace("target/lib/*", "'target/lib/*'");
            ProcessBuilder builder = new ProcessBuilder("sh", "-c", command);
            builder.directory(ROOT.toFile());
            Map<String, String> environment = builder.environment();
            String path = environment.get("PATH");
            environment.clear();
            environment.put("PATH", path);
            environment.put("HOME", temp.toString());
            // The bench sets it too. So nothing has to be read from a file when the first warning is logged.
            environment.put("TZ", "UTC");
            environment.put("ORIOLESHED_BOOT", file.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
            process = builder.start();
            note("start %s pid %d", name, process.pid());
        }

        void signal(String signal) {
            note("signal %s to %s", signal, name);
            try {
                new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        void kill() {
            if (process != null) {
                process.destroyForcibly();
            }
        }

        boolean ready() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(ip, readyPort), 500);
                socket.setSoTimeout(500);
                socket.getOutputStream().write(bytes("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"));
                String line = line(socket.getInputStream());
                return line != null && line.contains(" 200");
            } catch (IOException e) {
                return false;
            }
        }

        Socket connect() throws IOException {
            Socket socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(ip, frontPort), 1_000);
            return socket;
        }
    }

    void startHosts() throws IOException {
        for (Host host : hosts) {
            Files.deleteIfExists(host.log());
            host.start();
        }
        awaitReady(30_000);
    }

    void awaitReady(long limitMillis) {
        long end = System.nanoTime() + limitMillis * 1_000_000;
        for (Host host : hosts) {
            while (!host.ready()) {
                if (System.nanoTime() > end) {
                    throw new IllegalStateException(host.name + " is not ready");
                }
                sleep(50);
            }
        }
        note("all hosts are ready");
    }

    // ---------------------------------------------------------------- the platform's store

    /** The platform's store, as PROTOCOL.md tells it. */
    final class Store implements AutoCloseable {
        private record Item(byte[] value, long revision, long created, long lease) {}

        private record Change(String key, byte[] value, long revision, long created, long lease) {}

        private final TreeMap<String, Item> items = new TreeMap<>();
        private final List<Change> changes = new ArrayList<>();
        private final Map<Long, Long> leaseEnds = new ConcurrentHashMap<>();
        private final Map<Long, Long> leaseTtls = new ConcurrentHashMap<>();
        private final HttpServer server;
        private long revision = 100;
        private long nextLease = 1;
        final Map<String, Integer> calls = new TreeMap<>();

        Store() throws IOException {
            server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
            server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
            server.createContext("/", this::handle);
            server.start();
        }

        int port() {
            return server.getAddress().getPort();
        }

        synchronized long put(String key, String value) {
            return put(key, value.getBytes(StandardCharsets.UTF_8), 0);
        }

        private synchronized long put(String key, byte[] value, long lease) {
            revision++;
            Item before = items.get(key);
            long created = before == null ? revision : before.created;
            items.put(key, new Item(value, revision, created, lease));
            changes.add(new Change(key, value, revision, created, lease));
            notifyAll();
            return revision;
        }

        synchronized void delete(String key) {
            if (items.remove(key) != null) {
                revision++;
                changes.add(new Change(key, null, revision, 0, 0));
                notifyAll();
            }
        }

        synchronized String get(String key) {
            Item item = items.get(key);
            return item == null ? null : new String(item.value, StandardCharsets.UTF_8);
        }

        private void expire() {
            long now = System.nanoTime();
            leaseEnds.forEach(
                    (lease, end) -> {
                        if (now > end) {
                            leaseEnds.remove(lease);
                            List<String> keys = new ArrayList<>();
                            items.forEach((key, item) -> {
                                if (item.lease == lease) {
                                    keys.add(key);
                                }
                            });
                            keys.forEach(this::delete);
                        }
                    });
        }

        private static String json(String key, byte[] value, long revision, long created, long lease) {
            return "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%d,\"create-revision\":%d,\"lease\":%d}"
                    .formatted(key, Base64.getEncoder().encodeToString(value), revision, created, lease);
        }

        private void handle(HttpExchange exchange) throws IOException {
            try {
                String path = exchange.getRequestURI().getPath();
                String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
                synchronized (this) {
                    calls.merge(path.replaceAll("[0-9]+", "N"), 1, Integer::sum);
                    expire();
                }
                if (path.equals("/kv-key")) {
                    key(exchange);
                } else if (path.equals("/kv-range")) {
                    range(exchange);
                } else if (path.equals("/kv-watch")) {
                    watch(exchange);
                } else if (path.equals("/kv-txn")) {
                    transact(exchange, body);
                } else if (path.equals("/kv-lease")) {
                    long ttl = Math.max(1_000, number(body, "ttl-ms"));
                    long lease;
                    synchronized (this) {
                        lease = nextLease++;
                    }
                    leaseTtls.put(lease, ttl);
                    leaseEnds.put(lease, System.nanoTime() + ttl * 1_000_000);
                    reply(exchange, 200, "{\"lease\":%d,\"ttl-ms\":%d}".formatted(lease, ttl));
                } else if (path.startsWith("/kv-keep/")) {
                    long lease = Long.parseLong(path.substring("/kv-keep/".length()));
                    if (leaseEnds.computeIfPresent(lease, (key, end) -> System.nanoTime() + leaseTtls.get(key) * 1_000_000) == null) {
                        reply(exchange, 404, "{}");
                    } else {
                        reply(exchange, 200, "{\"lease\":%d,\"ttl-ms\":%d}".formatted(lease, leaseTtls.get(lease)));
                    }
                } else {
                    reply(exchange, 404, "{}");
                }
            } catch (RuntimeException | InterruptedException e) {
                e.printStackTrace();
                exchange.close();
            }
        }

        private static long number(String body, String field) {
            Matcher matcher = Pattern.compile("\"" + field + "\"\\s*:\\s*(\\d+)").matcher(body);
            return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
        }

        private void key(HttpExchange exchange) throws IOException {
            String key = query(exchange, "key");
            Item item;
            long asOf;
            synchronized (this) {
                item = items.get(key);
                asOf = revision;
            }
            if (item == null) {
                reply(exchange, 404, "{\"as-of\":%d}".formatted(asOf));
            } else {
                String text = json(key, item.value, item.revision, item.created, item.lease);
                reply(exchange, 200, text.substring(0, text.length() - 1) + ",\"as-of\":" + asOf + "}");
            }
        }

        private void range(HttpExchange exchange) throws IOException {
            String prefix = query(exchange, "prefix");
            String after = query(exchange, "after");
            List<String> found = new ArrayList<>();
            long asOf;
            boolean truncated = false;
            long bytes = 0;
            synchronized (this) {
                asOf = revision;
                for (Map.Entry<String, Item> entry : items.tailMap(prefix).entrySet()) {
                    String key = entry.getKey();
                    Item item = entry.getValue();
                    if (!key.startsWith(prefix)) {
                        break;
                    }
                    if (key.compareTo(after) <= 0) {
                        continue;
                    }
                    if (!found.isEmpty() && (found.size() == 500 || bytes + item.value.length > 1_048_576)) {
                        truncated = true;
                        break;
                    }
                    bytes += item.value.length;
                    found.add(json(key, item.value, item.revision, item.created, item.lease));
                }
            }
            reply(exchange, 200, "{\"items\":[%s],\"truncated\":%s,\"as-of\":%d}".formatted(String.join(",", found), truncated, asOf));
        }

        private void watch(HttpExchange exchange) throws IOException, InterruptedException {
            String prefix = query(exchange, "prefix");
            long after = Long.parseLong(query(exchange, "after"));
            long end = System.nanoTime() + Long.parseLong(query(exchange, "wait-ms")) * 1_000_000;
            List<String> found = new ArrayList<>();
            long asOf;
            synchronized (this) {
                while (true) {
                    for (Change change : changes) {
                        if (change.revision > after && change.key.startsWith(prefix)) {
                            found.add(change.value == null
                                    ? "{\"key\":\"%s\",\"revision\":%d,\"tombstone\":true}".formatted(change.key, change.revision)
                                    : json(change.key, change.value, change.revision, change.created, change.lease));
                        }
                    }
                    asOf = revision;
                    long left = (end - System.nanoTime()) / 1_000_000;
                    if (!found.isEmpty() || left <= 0) {
                        break;
                    }
                    wait(left);
                }
            }
            reply(exchange, 200, "{\"events\":[%s],\"as-of\":%d}".formatted(String.join(",", found), asOf));
        }

        private void transact(HttpExchange exchange, String body) throws IOException {
            // The bodies are flat: rows of if-rev, puts and deletes.
            List<String> conflicts = new ArrayList<>();
            long at;
            synchronized (this) {
                Matcher rows = Pattern.compile("\\{[^{}]*\\}").matcher(section(body, "if-rev"));
                while (rows.find()) {
                    String key = text(rows.group(), "key");
                    Item item = items.get(key);
                    if ((item == null ? 0 : item.revision) != number(rows.group(), "revision")) {
                        conflicts.add(item == null
                                ? "{\"key\":\"%s\",\"revision\":0}".formatted(key)
                                : json(key, item.value, item.revision, item.created, item.lease));
                    }
                }
                if (conflicts.isEmpty()) {
                    Matcher puts = Pattern.compile("\\{[^{}]*\\}").matcher(section(body, "puts"));
                    while (puts.find()) {
                        put(text(puts.group(), "key"), Base64.getDecoder().decode(text(puts.group(), "value")), number(puts.group(), "lease"));
                    }
                }
                at = revision;
            }
            if (conflicts.isEmpty()) {
                reply(exchange, 200, "{\"revision\":%d}".formatted(at));
            } else {
                reply(exchange, 412, "{\"items\":[%s]}".formatted(String.join(",", conflicts)));
            }
        }

        private static String section(String body, String name) {
            int from = body.indexOf("\"" + name + "\"");
            return from < 0 ? "" : body.substring(from, body.indexOf(']', from) + 1);
        }

        private static String text(String row, String field) {
            Matcher matcher = Pattern.compile("\"" + field + "\"\\s*:\\s*\"([^\"]*)\"").matcher(row);
            return matcher.find() ? matcher.group(1) : "";
        }

        private static String query(HttpExchange exchange, String name) {
            String all = exchange.getRequestURI().getRawQuery();
            for (String part : (all == null ? "" : all).split("&", -1)) {
                if (part.startsWith(name + "=")) {
                    return URLDecoder.decode(part.substring(name.length() + 1), StandardCharsets.UTF_8);
                }
            }
            return "";
        }

        private static void reply(HttpExchange exchange, int status, String body) throws IOException {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
            exchange.close();
        }

        @Override
        public void close() {
            server.stop(0);
        }
    }

    // ---------------------------------------------------------------- workers

    /** A request as a worker read it. */
    record Request(String line, Map<String, String> headers, byte[] body, long readNanos) {
        String id() {
            return headers.getOrDefault("x-request-id", "");
        }

        String head(String status) {
            return "HTTP/1.1 " + status + "\r\nX-Request-Id: " + id() + "\r\n";
        }

        String signedHead(String status) {
            return head(status) + "X-Response-Signature: s." + id() + "\r\n";
        }
    }

    /** What a worker does with a request; returns whether the channel stays open. */
    interface Script {
        boolean play(Request request, InputStream in, OutputStream out, Socket socket) throws IOException;
    }

    Worker worker(String service, String zone, int slots) throws IOException {
        Worker worker = new Worker(service, zone, slots, "127.0.8." + (workers.size() + 1));
        workers.add(worker);
        return worker;
    }

    /** A sound worker on a plain socket; its script answers. */
    final class Worker implements AutoCloseable {
        final String id = "i-" + Long.toHexString((long) (Math.random() * 0xffffffffL) | 0x10000000L);
        final String service;
        final String zone;
        final int slots;
        final ServerSocket socket;
        final long born = System.currentTimeMillis();
        final List<Request> requests = new CopyOnWriteArrayList<>();
        volatile String version = "v1";
        volatile Script script;
        private long seq;
        private volatile boolean closed;
        volatile String state = "ready";

        Worker(String service, String zone, int slots, String ip) throws IOException {
            this.service = service;
            this.zone = zone;
            this.slots = slots;
            this.socket = new ServerSocket(0, 500, InetAddress.getByName(ip));
            Thread.ofVirtual().start(this::accept);
        }

        void register() {
            store.put("servers/" + id,
                    "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\",\"version\":\"%s\",\"batch-slots\":%d,\"state\":\"%s\",\"warmup-left-ms\":0,\"seq\":%d,\"born\":%d}"
                            .formatted(service, socket.getInetAddress().getHostAddress(), socket.getLocalPort(), zone, version, slots, state, seq++, born));
        }

        private void accept() {
            while (!closed) {
                try {
                    Socket connection = socket.accept();
                    connection.setTcpNoDelay(true);
                    spawn(() -> serve(connection));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket connection) {
            try (connection) {
                InputStream in = new BufferedInputStream(connection.getInputStream(), 1 << 16);
                boolean open = true;
                while (open) {
                    Request request = readRequest(in);
                    if (request == null) {
                        return;
                    }
                    if (request.line.startsWith("GET /health")) {
                        connection.getOutputStream().write(bytes("HTTP/1.1 200 OK\r\nX-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"));
                        continue;
                    }
                    String expected = request.headers.getOrDefault("x-expect-instance", id);
                    if (!expected.equals(id)) {
                        connection.getOutputStream().write(bytes(request.head("421 Misdirected Request") + "X-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"));
                        continue;
                    }
                    requests.add(request);
                    open = script.play(request, in, connection.getOutputStream(), connection);
                }
            } catch (IOException e) {
                // The other side closed the channel.
            }
        }

        @Override
        public void close() {
            closed = true;
            try {
                socket.close();
            } catch (IOException e) {
                // Closed already.
            }
        }
    }

    static Request readRequest(InputStream in) throws IOException {
        String line = line(in);
        if (line == null || line.isEmpty()) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String field = line(in); field != null && !field.isEmpty(); field = line(in)) {
            int colon = field.indexOf(':');
            headers.put(field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            return null;
        }
        return new Request(line, headers, body, System.nanoTime());
    }

    // ---------------------------------------------------------------- requesters

    /** What a requester got: the status (0: none), the body, and how it ended. */
    static final class Answer {
        int status;
        final Map<String, String> headers = new TreeMap<>();
        byte[] body = new byte[0];
        /** complete, cut (the channel ended), or silent (nothing came in time). */
        String end = "silent";
        boolean anyByte;
        long millis;

        String id() {
            return headers.getOrDefault("x-request-id", "");
        }

        @Override
        public String toString() {
            return "status=%d end=%s bytes=%d after=%dms".formatted(status, end, body.length, millis);
        }
    }

    static Answer readAnswer(Socket socket, InputStream in, long limitMillis) {
        Answer answer = new Answer();
        long start = System.nanoTime();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            socket.setSoTimeout((int) limitMillis);
            String line = line(in);
            if (line == null) {
                answer.end = "cut";
                return answer;
            }
            answer.anyByte = true;
            answer.status = Integer.parseInt(line.split(" ")[1]);
            for (String field = line(in); field != null && !field.isEmpty(); field = line(in)) {
                int colon = field.indexOf(':');
                answer.headers.put(field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).strip());
            }
            if ("chunked".equalsIgnoreCase(answer.headers.get("transfer-encoding"))) {
                while (true) {
                    String size = line(in);
                    if (size == null) {
                        answer.end = "cut";
                        return answer;
                    }
                    int length = Integer.parseInt(size.strip(), 16);
                    byte[] part = in.readNBytes(length);
                    body.writeBytes(part);
                    if (part.length < length || line(in) == null) {
                        answer.end = "cut";
                        return answer;
                    }
                    if (length == 0) {
                        answer.end = "complete";
                        return answer;
                    }
                }
            }
            if (answer.headers.containsKey("content-length")) {
                int length = Integer.parseInt(answer.headers.get("content-length"));
                byte[] part = in.readNBytes(length);
                body.writeBytes(part);
                answer.end = part.length == length ? "complete" : "cut";
                return answer;
            }
            body.writeBytes(in.readAllBytes());
            answer.end = "complete";
        } catch (SocketTimeoutException e) {
            answer.end = "silent";
        } catch (IOException e) {
            answer.end = "cut";
        } finally {
            answer.body = body.toByteArray();
            answer.millis = (System.nanoTime() - start) / 1_000_000;
        }
        return answer;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        for (; next >= 0 && next != '\n'; next = in.read()) {
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static String newId() {
        return "%016x".formatted((long) (Math.random() * Long.MAX_VALUE));
    }
}
