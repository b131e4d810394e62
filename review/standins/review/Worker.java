package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A worker that registers in the store, and runs plain calls and streams. */
final class Worker {
    private final Record record;
    private final String id;
    private final String service;
    private final String zone;
    private final int slots;
    private final long bornMillis = System.currentTimeMillis();
    private final ServerSocket server = new ServerSocket();
    private final AtomicInteger running = new AtomicInteger();
    private final List<Double> runSeconds = new CopyOnWriteArrayList<>();
    private volatile long workMillis;
    private volatile int events;
    private volatile long eventMillis;

    Worker(Record record, String id, String service, String zone, String ip, int slots)
            throws IOException {
        this.record = record;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        server.bind(new InetSocketAddress(ip, 0), 256);
        Thread.ofVirtual().start(this::accept);
    }

    /** Sets how long the worker works until a plain answer, or until a stream's first event. */
    Worker works(long millis) {
        workMillis = millis;
        return this;
    }

    /** Sets the events of a stream and the time between them. */
    Worker streams(int newEvents, long betweenMillis) {
        events = newEvents;
        eventMillis = betweenMillis;
        return this;
    }

    String id() {
        return id;
    }

    /** Returns the number of runs that began at a time or later. */
    long runsFrom(double seconds) {
        return runSeconds.stream().filter(it -> it >= seconds).count();
    }

    double lastRunSeconds() {
        return runSeconds.isEmpty() ? 0 : runSeconds.getLast();
    }

    /** Returns the worker's entry in the store. */
    String entry(String state) {
        return """
               {"service":"%s","address":"%s:%d","zone":"%s","version":"v1","batch-slots":%d,\
               "state":"%s","warmup-left-ms":0,"seq":1,"born":%d}"""
                .formatted(
                        service,
                        server.getInetAddress().getHostAddress(),
                        server.getLocalPort(),
                        zone,
                        slots,
                        state,
                        bornMillis);
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
                answer(call, socket.getOutputStream());
            }
        } catch (IOException e) {
            // The caller closed or reset the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void answer(Http.Message call, OutputStream out)
            throws IOException, InterruptedException {
        String request = call.header("x-request-id");
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Request-Id", request);
        String expected = call.header("x-expect-instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            headers.put("X-Instance-Id", id);
            headers.put("X-Not-Executed", "1");
            Http.write(out, "HTTP/1.1 421 Misdirected Request", headers, new byte[0]);
            return;
        }
        record.run(
                request,
                service,
                "run worker=%s service=%s request=%s path=%s tenant=%s body=%d"
                        .formatted(
                                id,
                                service,
                                request,
                                call.line().split(" ")[1],
                                call.header("x-tenant"),
                                call.body().length));
        runSeconds.add(Record.seconds());
        running.incrementAndGet();
        try {
            Thread.sleep(workMillis);
            headers.put("X-Response-Signature", "sig." + request);
            if (events == 0) {
                Http.write(
                        out,
                        "HTTP/1.1 200 OK",
                        headers,
                        ("done " + request).getBytes(StandardCharsets.UTF_8));
                return;
            }
            stream(out, headers);
        } finally {
            running.decrementAndGet();
        }
    }

    private void stream(OutputStream out, Map<String, String> headers)
            throws IOException, InterruptedException {
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
        headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        head.append("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        for (int i = 1; i <= events; i++) {
            String event = "id: " + i + "\ndata: piece " + i + "\n\n";
            String chunk = Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
            out.write(chunk.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            Thread.sleep(eventMillis);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
