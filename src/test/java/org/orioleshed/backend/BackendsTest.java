package org.orioleshed.backend;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.orioleshed.fleet.TestServers;
import org.orioleshed.host.HostEvent;
import org.orioleshed.http.HttpClients;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Payload;
import org.orioleshed.model.RequestId;
import org.orioleshed.model.RunId;
import org.orioleshed.routing.RunEnd;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of {@link Backends} against a fake server: broken streams, cancellation and resent calls.
 */
public class BackendsTest {
    private static final long TIMEOUT_SECONDS = 60;
    private static final BackendLimits LIMITS =
            new BackendLimits(30_000, 30_000, 2_000, 30_000, 2, 1 << 12, 1 << 16);
    private static final RunId RUN = new RunId(new RequestId(new HostId("h"), 1, 1), 1);
    private static final String TOKEN =
            "data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}],\"offset\":%d,\"count\":1}\n\n";

    private final LinkedBlockingQueue<HostEvent> events = new LinkedBlockingQueue<>();
    private final CountDownLatch release = new CountDownLatch(1);
    private final AtomicInteger cancels = new AtomicInteger();
    private final AtomicInteger calls = new AtomicInteger();
    private HttpServer server;
    private Backends backends;

    @BeforeMethod
    public void open() throws IOException {
        HttpClients.allowConnectionField();
        events.clear();
        cancels.set(0);
        calls.set(0);
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/v1/runs/", this::cancel);
        server.start();
        backends = new Backends(LIMITS, events::add);
    }

    @AfterMethod
    public void close() {
        backends.close();
        server.stop(0);
    }

    @Test
    public void completeStreamEndsAsFinished() throws Exception {
        stream(TOKEN.formatted(0) + TOKEN.formatted(1) + "data: [DONE]\n\n", false);
        backends.start(RUN, TestServers.at(address()), Payload.of("{}"), 0);
        assertEquals(eventNamesBeforeEnd(), List.of("RunAccepted", "RunTokens", "RunTokens"));
        assertEquals(end(), new RunEnd.Finished(2));
    }

    @DataProvider
    Object[][] brokenStreams() {
        return new Object[][] {
            {TOKEN.formatted(0), true},
            {TOKEN.formatted(0), false},
            {TOKEN.formatted(0) + "data: {{{\n\n", true},
            {TOKEN.formatted(0) + "x".repeat(5_000) + "\n", true},
        };
    }

    /**
     * Silent, truncated, malformed and overlong streams: the run is cancelled at the engine before
     * its end is reported.
     */
    @Test(dataProvider = "brokenStreams")
    public void brokenStreamIsCancelledBeforeItsEndIsReported(String text, boolean hang)
            throws Exception {
        stream(text, hang);
        backends.start(RUN, TestServers.at(address()), Payload.of("{}"), 0);
        assertEquals(eventNamesBeforeEnd(), List.of("RunAccepted", "RunTokens"));
        assertEquals(end(), new RunEnd.Broken(false, true));
        assertEquals(cancels.get(), 1);
    }

    @Test
    public void runOnAnUnreachableEngineEndsAsNotExecuting() throws Exception {
        backends.start(RUN, TestServers.at(unreachableAddress()), Payload.of("{}"), 0);
        assertEquals(end(), new RunEnd.Broken(true, true));
        assertEquals(events.size(), 0);
    }

    @Test
    public void rejectedRunEndsAsEngineError() throws Exception {
        server.createContext("/v1/chat/completions", http -> answer(http, 503, "{}"));
        backends.start(RUN, TestServers.at(address()), Payload.of("{}"), 0);
        assertEquals(end(), new RunEnd.EngineError(true, "status 503: {}"));
    }

    @Test
    public void cancelOfARunOfAnotherHostIsConfirmed() throws Exception {
        backends.cancel(RUN, TestServers.at(address()));
        assertEquals(end(), new RunEnd.Cancelled(7));
    }

    @Test
    public void callToAnUnreachableServiceEndsAsNeverSent() throws Exception {
        backends.call(
                RUN, TestServers.at(unreachableAddress()), "hold", "k", Payload.of("{}"), 5_000);
        assertTrue(callEnd() instanceof HostEvent.CallEnd.NeverSent);
    }

    /** The service reads the call and drops the connection; the client must not resend the call. */
    @Test
    public void brokenCallIsNotResent() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            Thread.ofVirtual().start(() -> dropConnections(socket));
            URI address = URI.create("http://127.0.0.1:" + socket.getLocalPort());
            backends.call(RUN, TestServers.at(address), "hold", "k", Payload.of("{}"), 5_000);
            assertTrue(callEnd() instanceof HostEvent.CallEnd.Broken);
            assertEquals(calls.get(), 1);
        }
    }

    @DataProvider
    Object[][] callResponses() {
        String body = "{\"hold\": [1, 2]}";
        String length = "Content-Length: " + body.length() + "\r\n";
        String chunked = "Transfer-Encoding: chunked\r\n";
        return new Object[][] {
            {length, body, false},
            {chunked, Integer.toHexString(body.length()) + "\r\n" + body + "\r\n0\r\n\r\n", false},
            {"", body, false},
            {"", "text", true},
            {"", "12", true},
            {"", "", true},
        };
    }

    /** Guards against the beginning of a service's answer that is taken for the whole. */
    @Test(dataProvider = "callResponses")
    public void aCallWhoseAnswerIsCutOffAnywhereIsBroken(
            String fields, String body, boolean wholeIsBroken) throws Exception {
        for (int bytes = 0; bytes <= body.length(); bytes++) {
            String response = "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + body.substring(0, bytes);
            boolean broken = bytes < body.length() || wholeIsBroken;
            HostEvent.CallEnd end = callAnsweredWith(response);
            assertEquals(end instanceof HostEvent.CallEnd.Broken, broken, response + end);
        }
    }

    private HostEvent.CallEnd callAnsweredWith(String response) throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            Thread.ofVirtual().start(() -> answerAndClose(socket, response));
            URI address = URI.create("http://127.0.0.1:" + socket.getLocalPort());
            backends.call(RUN, TestServers.at(address), "hold", "k", Payload.of("{}"), 5_000);
            return callEnd();
        }
    }

    /** Reads a call to the end of its body and sends raw bytes as the response. */
    private static void answerAndClose(ServerSocket socket, String response) {
        try (Socket connection = socket.accept()) {
            StringBuilder request = new StringBuilder();
            while (!request.toString().endsWith("\r\n\r\n{}")) {
                request.append((char) connection.getInputStream().read());
            }
            connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void dropConnections(ServerSocket socket) {
        while (true) {
            try (Socket connection = socket.accept()) {
                if (connection.getInputStream().read() >= 0) {
                    calls.incrementAndGet();
                }
            } catch (IOException e) {
                return;
            }
        }
    }

    private void stream(String text, boolean hang) {
        server.createContext(
                "/v1/chat/completions",
                http -> {
                    http.sendResponseHeaders(200, 0);
                    http.getResponseBody().write(text.getBytes(StandardCharsets.UTF_8));
                    http.getResponseBody().flush();
                    if (hang) {
                        awaitRelease();
                    }
                    http.close();
                });
    }

    private void awaitRelease() {
        try {
            release.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void cancel(HttpExchange http) throws IOException {
        cancels.incrementAndGet();
        answer(http, 200, "{\"state\":\"cancelled\",\"prefillTokens\":7}");
    }

    private static void answer(HttpExchange http, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        http.sendResponseHeaders(status, bytes.length);
        http.getResponseBody().write(bytes);
        http.close();
    }

    /** Returns the class names of the events before the run's end, which stays queued. */
    private List<String> eventNamesBeforeEnd() throws InterruptedException {
        List<String> names = new ArrayList<>();
        HostEvent event = events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        while (!(event instanceof HostEvent.RunEnded)) {
            names.add(event.getClass().getSimpleName());
            event = events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
        events.add(event);
        return names;
    }

    private RunEnd end() throws InterruptedException {
        return ((HostEvent.RunEnded) events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).end();
    }

    private HostEvent.CallEnd callEnd() throws InterruptedException {
        return ((HostEvent.CallEnded) events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).end();
    }

    private URI address() {
        return URI.create("http://127.0.0.1:" + server.getAddress().getPort());
    }

    private static URI unreachableAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return URI.create("http://127.0.0.1:" + socket.getLocalPort());
        }
    }
}
