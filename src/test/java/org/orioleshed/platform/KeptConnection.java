package org.orioleshed.platform;

import static org.orioleshed.platform.WorkerFake.bytes;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A caller's connection that is kept open for several requests. */
final class KeptConnection implements AutoCloseable {
    private static final int MAX_WAIT_MILLIS = 10_000;

    /** The text of a response of which nothing was received. */
    static final String NONE = "";

    private final Socket socket;

    KeptConnection(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(MAX_WAIT_MILLIS);
        socket.setTcpNoDelay(true);
    }

    /** Returns a request that leaves its connection open. */
    static String request(String id, long deadlineMillis, String body) {
        return Fleet.request("/o/x", id, body)
                .replace("Connection: close\r\n", "")
                .replace("X-Deadline-Ms: 5000", "X-Deadline-Ms: " + deadlineMillis);
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(bytes(text));
    }

    /** Sends a part of a request; the host may have refused it, and closed the connection. */
    void sendWhileOpen(String text) throws IOException {
        try {
            send(text);
        } catch (SocketException e) {
            // The response tells.
            return;
        }
    }

    /** Sends a request and returns its response. */
    String exchange(String request) throws IOException {
        send(request);
        return response();
    }

    /**
     * Returns the next whole response, or {@link #NONE} if the connection ends before one byte of
     * it, in whatever way.
     *
     * @throws IOException if the response is cut off, or does not come in time
     */
    String response() throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = read();
            if (next < 0 && head.isEmpty()) {
                return NONE;
            }
            if (next < 0) {
                throw new IOException("cut off in the head: " + head);
            }
            head.append((char) next);
        }
        byte[] body = socket.getInputStream().readNBytes(length(head.toString()));
        return head + new String(body, StandardCharsets.ISO_8859_1);
    }

    /** Reads until a text was received; the text must come before the connection ends. */
    void skipPast(String text) throws IOException {
        StringBuilder received = new StringBuilder();
        while (received.indexOf(text) < 0) {
            int next = read();
            if (next < 0) {
                throw new IOException("ended before the text: " + received);
            }
            received.append((char) next);
        }
    }

    private int read() throws IOException {
        InputStream in = socket.getInputStream();
        try {
            return in.read();
        } catch (SocketException e) {
            return -1;
        }
    }

    private static int length(String head) {
        String name = "content-length: ";
        int from = head.toLowerCase(Locale.ROOT).indexOf(name);
        return from < 0
                ? 0
                : Integer.parseInt(
                        head.substring(from + name.length(), head.indexOf("\r\n", from)));
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
