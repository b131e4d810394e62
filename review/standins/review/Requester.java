package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/** A requester that keeps one connection open while the host does. */
final class Requester implements AutoCloseable {
    private static final AtomicLong NEXT = new AtomicLong(1);

    private final Record record;
    private final InetSocketAddress host;
    private final String key;
    private volatile Socket socket;
    private int answered;
    private BufferedInputStream in;

    /**
     * The end of a request: its id and status, or status 0 if there was no answer.
     *
     * @param kept whether its channel had carried an answered request before
     * @param closed whether the host closed the channel; else it did nothing until long after the
     *     deadline
     */
    record Answer(String id, int status, double sentSeconds, boolean kept, boolean closed) {
        /** Returns whether nothing came, neither an answer nor the end of the channel. */
        boolean isUnanswered() {
            return status == 0 && !closed;
        }
    }

    Requester(Record record, InetSocketAddress host, String key) {
        this.record = record;
        this.host = host;
        this.key = key;
    }

    static String nextId() {
        return "%016x".formatted(NEXT.getAndIncrement());
    }

    Answer send(String method, String path, byte[] body, int deadlineMillis, String... extra) {
        String id = nextId();
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "desk.example");
        headers.put("X-Request-Id", id);
        headers.put("X-Deadline-Ms", String.valueOf(deadlineMillis));
        headers.put("Api-Key", key);
        for (int i = 0; i + 1 < extra.length; i += 2) {
            headers.put(extra[i], extra[i + 1]);
        }
        double sentSeconds = Record.seconds();
        boolean kept = answered > 0;
        AtomicBoolean givenUp = new AtomicBoolean();
        Thread timer = Thread.ofVirtual().start(() -> giveUp(deadlineMillis + 2_000, givenUp));
        try {
            if (socket == null) {
                socket = new Socket();
                socket.connect(host, 1_000);
                socket.setTcpNoDelay(true);
                in = new BufferedInputStream(socket.getInputStream());
            }
            record.add(
                    "sent request=%s host=%s method=%s path=%s key=%s body=%d"
                            .formatted(id, host, method, path, key, body.length));
            Http.write(socket.getOutputStream(), method + " " + path + " HTTP/1.1", headers, body);
            Http.Message answer = Http.read(in);
            if (answer == null) {
                throw new IOException("closed without an answer");
            }
            record.add("answered request=%s status=%d".formatted(id, answer.status()));
            answered++;
            if (answer.header("connection").equalsIgnoreCase("close")) {
                close();
            }
            return new Answer(id, answer.status(), sentSeconds, kept, false);
        } catch (IOException e) {
            String reason = givenUp.get() ? "no answer 2 s after the deadline" : e.getMessage();
            record.add("unanswered request=%s reason=\"%s\"".formatted(id, reason));
            close();
            return new Answer(id, 0, sentSeconds, kept, !givenUp.get());
        } finally {
            timer.interrupt();
        }
    }

    private void giveUp(int millis, AtomicBoolean givenUp) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            return;
        }
        givenUp.set(true);
        Socket open = socket;
        if (open != null) {
            try {
                open.close();
            } catch (IOException e) {
                // Closed already.
            }
        }
    }

    @Override
    public void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // Closed already.
        }
        socket = null;
        answered = 0;
    }
}
