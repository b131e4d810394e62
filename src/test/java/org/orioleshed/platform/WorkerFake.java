package org.orioleshed.platform;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A fake server on a plain socket, which can send any bytes and records the requests received. */
public final class WorkerFake implements AutoCloseable {
    final List<Request> requests = Collections.synchronizedList(new ArrayList<>());
    private static final int SMALL_BUFFER_BYTES = 4_096;

    private final ServerSocket socket;
    private volatile Script script = Script.answering(200, "ok");
    private volatile boolean leavesBodiesUnread;

    /** A received request; header names are in lower case. */
    public record Request(String line, Map<String, String> headers, String body) {
        /** Returns the request's id; empty where it has none. */
        public String id() {
            return headers.getOrDefault("x-request-id", "");
        }
    }

    /** The server's response to a request. */
    public interface Script {
        /** Writes the response to {@code out}; returns whether the connection stays open. */
        boolean play(Request request, OutputStream out, InputStream in)
                throws IOException, InterruptedException;

        static Script answering(int status, String body) {
            return (request, out, in) -> {
                out.write(bytes(head(request, status, true) + length(body) + body));
                return true;
            };
        }

        /** Streams events {@code from} to {@code to} and ends the stream. */
        static Script streaming(int from, int to, long pauseMillis) {
            return (request, out, in) -> {
                out.write(bytes(head(request, 200, true) + STREAM));
                for (int i = from; i <= to; i++) {
                    out.write(bytes(chunk("id: %d\ndata: e%d\n\n".formatted(i, i))));
                    out.flush();
                    Thread.sleep(pauseMillis);
                }
                out.write(bytes("0\r\n\r\n"));
                return true;
            };
        }
    }

    /** A pause between two events of a stream. */
    interface Pause {
        void await() throws InterruptedException;
    }

    /** Streams events after the one that the request names, and pauses after the second one. */
    static Script pausing(int events, Pause pause) {
        return (request, out, in) -> {
            int first = Integer.parseInt(request.headers().getOrDefault("last-event-id", "0")) + 1;
            out.write(bytes(head(request, 200, true) + STREAM));
            for (int i = first; i <= events; i++) {
                out.write(bytes(chunk("id: %d\ndata: e%d\n\n".formatted(i, i))));
                out.flush();
                if (i == 2) {
                    pause.await();
                }
            }
            out.write(bytes("0\r\n\r\n"));
            return true;
        };
    }

    /** The header fields of a stream's response, and the end of the head. */
    public static final String STREAM =
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

    /** Starts a server on a free loopback port. */
    public WorkerFake() throws IOException {
        socket = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(this::accept);
    }

    /** Sets the script for the next requests. */
    public void script(Script newScript) {
        script = newScript;
    }

    /** Leaves the bodies of requests unread, with little room for them in the connections. */
    void leaveBodiesUnread() throws IOException {
        leavesBodiesUnread = true;
        socket.setReceiveBufferSize(SMALL_BUFFER_BYTES);
    }

    /** Returns the address of the server. */
    public InetSocketAddress address() {
        return (InetSocketAddress) socket.getLocalSocketAddress();
    }

    String entry(String service, int slots) {
        return entry(service, slots, "z");
    }

    String entry(String service, int slots, String domain) {
        return "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"version\":\"v1\",\"batch-slots\":%d,\"state\":\"ready\",\"seq\":1}"
                .formatted(service, address().getPort(), domain, slots);
    }

    /** Returns the first lines of a response. */
    public static String head(Request request, int status, boolean signed) {
        return "HTTP/1.1 %d X\r\nX-Request-Id: %s\r\n".formatted(status, request.id())
                + (signed ? "X-Response-Signature: s\r\n" : "");
    }

    /** Returns a body's Content-Length field, and the end of the head. */
    public static String length(String body) {
        return "Content-Length: %d\r\n\r\n".formatted(body.length());
    }

    /** Returns a chunk of a body. */
    public static String chunk(String data) {
        return Integer.toHexString(data.length()) + "\r\n" + data + "\r\n";
    }

    /** Returns the bytes of a text in ISO 8859-1. */
    public static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Writes a request and returns what is read until the connection ends, however it ends. */
    static String exchange(Socket socket, String request) throws IOException {
        StringBuilder read = new StringBuilder();
        try {
            socket.getOutputStream().write(bytes(request));
            InputStream in = socket.getInputStream();
            for (int next = in.read(); next >= 0; next = in.read()) {
                read.append((char) next);
            }
        } catch (SocketException e) {
            return read.toString();
        }
        return read.toString();
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket connection = socket.accept();
                Thread.ofVirtual().start(() -> serve(connection));
            } catch (IOException e) {
                return;
            }
        }
    }

    /** What was written before a reset is received within this time. */
    private static final long RESET_DELAY_MILLIS = 50;

    /** Thrown by a script to reset its connection. */
    static final class ResetException extends IOException {
        private static final long serialVersionUID = 1L;

        private final long delayMillis;

        /** Resets after what the script wrote was received. */
        ResetException() {
            this(RESET_DELAY_MILLIS);
        }

        /** Resets after a time. */
        ResetException(long delayMillis) {
            this.delayMillis = delayMillis;
        }
    }

    /** Thrown by a script to end what it sends, and to read on until the connection ends. */
    static final class HalfCloseException extends IOException {
        private static final long serialVersionUID = 1L;
    }

    private boolean play(Request request, Socket connection, InputStream in)
            throws IOException, InterruptedException {
        try {
            return script.play(request, connection.getOutputStream(), in);
        } catch (ResetException e) {
            Thread.sleep(e.delayMillis);
            connection.setSoLinger(true, 0);
            return false;
        } catch (HalfCloseException e) {
            connection.shutdownOutput();
            in.transferTo(OutputStream.nullOutputStream());
            return false;
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            boolean open = true;
            while (open) {
                Request request = readRequest(in);
                if (request == null) {
                    return;
                }
                requests.add(request);
                open = play(request, connection, in);
                connection.getOutputStream().flush();
            }
        } catch (IOException e) {
            // The peer closed the connection.
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Request readRequest(InputStream in) throws IOException {
        String line = line(in);
        if (line.isEmpty()) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String field = line(in); !field.isEmpty(); field = line(in)) {
            int colon = field.indexOf(':');
            headers.put(
                    field.substring(0, colon).toLowerCase(Locale.ROOT),
                    field.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = leavesBodiesUnread ? new byte[0] : in.readNBytes(length);
        return new Request(line, headers, new String(body, StandardCharsets.ISO_8859_1));
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
