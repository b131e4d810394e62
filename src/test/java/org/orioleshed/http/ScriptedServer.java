package org.orioleshed.http;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;

/** A server on a plain socket that answers each request with given bytes. */
public final class ScriptedServer implements AutoCloseable {
    /** The heads of the received requests. */
    public final List<String> requests = Collections.synchronizedList(new ArrayList<>());

    private final List<Socket> connections = Collections.synchronizedList(new ArrayList<>());
    private final ServerSocket socket;
    private final Thread acceptor;
    private volatile Answer answer;

    /** What is sent for a request. */
    public interface Answer {
        /** Answers a request; returns whether the connection stays open. */
        boolean send(String head, Socket connection) throws IOException, InterruptedException;
    }

    /** Starts a server on a free loopback port. */
    public ScriptedServer() throws IOException {
        socket = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
        acceptor = Thread.ofVirtual().start(this::accept);
    }

    /** Sets the answer to the next requests. */
    public void answer(Answer newAnswer) {
        answer = newAnswer;
    }

    /** Answers the next requests with given bytes, and keeps the connection open. */
    public void answer(String response) {
        answer(
                (head, connection) -> {
                    write(connection, response);
                    return true;
                });
    }

    /** Writes a text in ISO 8859-1. */
    public static void write(Socket connection, String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        connection.getOutputStream().flush();
    }

    /** Returns the server's base address. */
    public URI address() {
        return URI.create("http://127.0.0.1:" + socket.getLocalPort());
    }

    /** Returns how many connections were accepted. */
    public int connections() {
        return connections.size();
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket connection = socket.accept();
                connections.add(connection);
                Thread.ofVirtual().start(() -> serve(connection));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            boolean open = true;
            while (open) {
                String head = readHead(in);
                if (head.isEmpty()) {
                    return;
                }
                var unused = in.readNBytes(contentLength(head));
                requests.add(head);
                open = answer.send(head, connection);
            }
        } catch (IOException e) {
            // The client closed the connection.
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return "";
            }
            head.append((char) next);
        }
        return head.toString();
    }

    private static int contentLength(String head) {
        return head.lines()
                .filter(line -> line.toLowerCase(Locale.ROOT).startsWith("content-length:"))
                .mapToInt(line -> Integer.parseInt(line.substring(15).strip()))
                .findFirst()
                .orElse(0);
    }

    /** Returns once new connections are refused: until then the kernel may still accept one. */
    @Override
    public void close() throws IOException {
        socket.close();
        try {
            acceptor.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (Socket connection : List.copyOf(connections)) {
            connection.close();
        }
    }
}
