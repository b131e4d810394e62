package org.orioleshed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.Counter;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link GuardedHandler}: a stream that breaks off must not look complete. */
public class GuardedHandlerTest {
    private static final String EVENT = "data: {}\n\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";

    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
    private HttpServer server;

    @BeforeMethod
    public void open() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(threads);
        server.start();
    }

    @AfterMethod
    public void close() {
        server.stop(0);
    }

    /** How a handler ends after its first event. */
    private interface End {
        void run() throws IOException;
    }

    private static HttpHandler streaming(End end) {
        return http -> {
            http.sendResponseHeaders(200, 0);
            http.getResponseBody().write(EVENT.getBytes(StandardCharsets.UTF_8));
            http.getResponseBody().flush();
            end.run();
        };
    }

    @DataProvider
    Object[][] failures() {
        End fault =
                () -> {
                    throw new IllegalStateException("fault");
                };
        End lostCaller =
                () -> {
                    throw new IOException("gone");
                };
        return new Object[][] {{fault}, {lostCaller}};
    }

    /** Guards against a last chunk behind a stream that was not completed. */
    @Test(dataProvider = "failures")
    public void aStreamWhoseHandlerFailsHasNoLastChunk(End end) throws IOException {
        String response = exchange(streaming(end));
        assertTrue(response.startsWith("HTTP/1.1 200"), response);
        assertTrue(response.contains(EVENT), response);
        assertEquals(response.endsWith(LAST_CHUNK), false, response);
    }

    @Test
    public void aCompletedStreamHasALastChunk() throws IOException {
        String response = exchange(streaming(() -> {}));
        assertTrue(response.endsWith(EVENT + "\r\n" + LAST_CHUNK), response);
    }

    @Test
    public void aFailureBeforeTheResponseIsAnswered() throws IOException {
        String response =
                exchange(
                        http -> {
                            throw new IllegalStateException("fault");
                        });
        assertTrue(response.startsWith("HTTP/1.1 500"), response);
        assertTrue(response.contains("internal"), response);
    }

    private String exchange(HttpHandler handler) throws IOException {
        server.createContext("/x", new GuardedHandler(handler, new Counter()));
        StringBuilder read = new StringBuilder();
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port())) {
            String request = "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            for (int next = socket.getInputStream().read();
                    next >= 0;
                    next = socket.getInputStream().read()) {
                read.append((char) next);
            }
        } catch (SocketException e) {
            return read.toString();
        }
        return read.toString();
    }

    private int port() {
        return server.getAddress().getPort();
    }
}
