package org.orioleshed.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.net.http.HttpTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link StrictHttpClient} with a server that sends given bytes. */
public class StrictHttpClientTest {
    private static final String BODY = "first line\nsecond line\n";
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
    private ScriptedServer server;
    private HttpClient client;

    @BeforeMethod
    public void open() throws IOException {
        server = new ScriptedServer();
        client = new StrictHttpClient(Duration.ofSeconds(2), Duration.ofSeconds(5), threads);
    }

    @AfterMethod
    public void close() throws IOException {
        client.close();
        server.close();
    }

    private HttpRequest.Builder request() {
        return HttpRequest.newBuilder(server.address().resolve("/a?b=c")).timeout(TIMEOUT);
    }

    private static String lengthOf(String body) {
        return "Content-Length: %d\r\n\r\n%s".formatted(body.length(), body);
    }

    /** Guards against a body or status of a response that is none, however the body is read. */
    @Test(dataProvider = "malformed", dataProviderClass = MalformedResponses.class)
    public void aMalformedResponseFails(String template) {
        String response = MalformedResponses.fill(template, "", BODY);
        server.answer(response);
        assertThrows(
                IOException.class, () -> client.send(request().build(), BodyHandlers.ofString()));
        assertThrows(
                IOException.class,
                () -> client.send(request().build(), BodyHandlers.ofByteArray()));
        assertThrows(
                IOException.class,
                () ->
                        client.send(request().build(), BodyHandlers.ofInputStream())
                                .body()
                                .readAllBytes());
        assertThrows(
                CompletionException.class,
                () -> client.sendAsync(request().build(), BodyHandlers.ofString()).join());
    }

    @Test(dataProvider = "sound", dataProviderClass = MalformedResponses.class)
    public void aSoundResponseIsRead(String template) throws Exception {
        server.answer(MalformedResponses.fill(template, "X-A: 1\r\nx-a: 2\r\n", BODY));
        for (int i = 0; i < 3; i++) {
            HttpResponse<String> response = client.send(request().build(), BodyHandlers.ofString());
            assertEquals(response.statusCode(), 200);
            assertEquals(response.body(), BODY);
            assertEquals(response.headers().allValues("X-A"), List.of("1", "2"));
        }
        assertEquals(server.connections(), 1);
    }

    @Test
    public void aRequestIsSentWhole() throws Exception {
        server.answer(OK + lengthOf("ok"));
        HttpRequest post =
                request()
                        .header("X-B", "v")
                        .POST(HttpRequest.BodyPublishers.ofString("body"))
                        .build();
        client.send(post, BodyHandlers.discarding());
        String head = server.requests.getFirst();
        assertTrue(head.startsWith("POST /a?b=c HTTP/1.1\r\n"), head);
        assertTrue(head.contains("host: " + server.address().getRawAuthority() + "\r\n"), head);
        assertTrue(head.contains("content-length: 4\r\n") && head.contains("X-B: v\r\n"), head);
    }

    @DataProvider
    Object[][] cuts() {
        return new Object[][] {
            {"", false},
            {OK, false},
            {OK + "Content-Length: 9\r\n\r\npart", false},
            {OK + "Content-Length: 9\r\n\r\npart", true},
            {OK + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", false},
            {OK + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", true},
            {OK + "\r\npart", true},
        };
    }

    /** Guards against the beginning of a response that is taken for the whole. */
    @Test(dataProvider = "cuts")
    public void aResponseThatIsCutFails(String beginning, boolean reset) {
        server.answer(
                (head, connection) -> {
                    ScriptedServer.write(connection, beginning);
                    if (reset) {
                        Thread.sleep(50);
                        connection.setSoLinger(true, 0);
                    }
                    return false;
                });
        assertThrows(
                IOException.class, () -> client.send(request().build(), BodyHandlers.ofString()));
    }

    /** Guards against a body without a stated end that nobody can read. */
    @Test
    public void aBodyMayEndWithItsConnection() throws Exception {
        server.answer(
                (head, connection) -> {
                    ScriptedServer.write(connection, OK + "\r\n" + BODY);
                    return false;
                });
        for (int i = 0; i < 2; i++) {
            assertEquals(client.send(request().build(), BodyHandlers.ofString()).body(), BODY);
        }
        assertEquals(server.connections(), 2);
    }

    /** Guards against bytes behind a response that become part of the next one. */
    @Test
    public void aConnectionWithBytesBeyondTheResponseIsNotReused() throws Exception {
        server.answer(OK + lengthOf("ok") + OK);
        for (int i = 0; i < 3; i++) {
            assertEquals(client.send(request().build(), BodyHandlers.ofString()).body(), "ok");
        }
        assertEquals(server.connections(), 3);
    }

    /** Guards against a proof of "not sent" for a request that may have run, and the reverse. */
    @Test
    public void failuresTellWhetherTheRequestWasSent() throws Exception {
        server.answer((head, connection) -> false);
        IOException sent =
                org.testng.Assert.expectThrows(
                        IOException.class,
                        () -> client.send(request().build(), BodyHandlers.ofString()));
        assertEquals(sent.getClass(), IOException.class);
        URI address = server.address();
        server.close();
        assertThrows(
                ConnectException.class,
                () ->
                        client.send(
                                HttpRequest.newBuilder(address).build(), BodyHandlers.ofString()));
    }

    @Test
    public void aRequestWithoutResponseTimesOut() {
        CountDownLatch ended = new CountDownLatch(1);
        server.answer(
                (head, connection) -> {
                    assertEquals(connection.getInputStream().read(), -1);
                    ended.countDown();
                    return false;
                });
        HttpRequest request = request().timeout(Duration.ofMillis(200)).build();
        HttpTimeoutException failure =
                org.testng.Assert.expectThrows(
                        HttpTimeoutException.class,
                        () -> client.send(request, BodyHandlers.ofString()));
        assertEquals(failure.getClass(), HttpTimeoutException.class);
        assertEquals(server.requests.size(), 1);
        assertTrue(awaits(ended), "the connection was not closed");
    }

    private static boolean awaits(CountDownLatch latch) {
        try {
            return latch.await(TIMEOUT.toMillis(), java.util.concurrent.TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Guards against a run at a server that goes on for nobody. */
    @Test
    public void closingABodyClosesTheConnection() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        server.answer(
                (head, connection) -> {
                    ScriptedServer.write(
                            connection, OK + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n");
                    try {
                        var unused = connection.getInputStream().read();
                    } finally {
                        ended.countDown();
                    }
                    return false;
                });
        HttpResponse<InputStream> response =
                client.send(request().build(), BodyHandlers.ofInputStream());
        assertEquals(response.body().read(), 'x');
        response.body().close();
        assertTrue(awaits(ended), "the connection was not closed");
    }

    @Test
    public void cancellingARequestClosesTheConnection() throws Exception {
        CountDownLatch received = new CountDownLatch(1);
        CountDownLatch ended = new CountDownLatch(1);
        server.answer(
                (head, connection) -> {
                    received.countDown();
                    var unused = connection.getInputStream().read();
                    ended.countDown();
                    return false;
                });
        CompletableFuture<HttpResponse<String>> response =
                client.sendAsync(request().build(), BodyHandlers.ofString());
        assertTrue(awaits(received));
        response.cancel(true);
        assertTrue(awaits(ended), "the connection was not closed");
    }

    /** Guards against a body that fills the memory while nobody reads it. */
    @Test
    public void anUnreadBodyIsHeldBack() throws Exception {
        AtomicLong sentBytes = new AtomicLong();
        String part = "x".repeat(64 << 10);
        server.answer((head, connection) -> sendEndless(connection, part, sentBytes));
        HttpResponse<InputStream> response =
                client.send(request().build(), BodyHandlers.ofInputStream());
        long before;
        do {
            before = sentBytes.get();
            Thread.sleep(300);
        } while (sentBytes.get() > before);
        assertTrue(before < 32 << 20, "bytes " + before);
        assertEquals(response.body().readNBytes(1 << 20).length, 1 << 20);
        response.body().close();
    }

    private static boolean sendEndless(Socket connection, String part, AtomicLong sentBytes)
            throws IOException {
        ScriptedServer.write(connection, OK + "\r\n");
        while (true) {
            ScriptedServer.write(connection, part);
            sentBytes.addAndGet(part.length());
        }
    }

    @Test
    public void linesAreReadAsTheyCome() throws Exception {
        List<String> lines = new ArrayList<>();
        server.answer(OK + lengthOf(BODY));
        client.sendAsync(
                        request().build(),
                        BodyHandlers.fromLineSubscriber(new LineCollector(lines)))
                .get();
        assertEquals(lines, List.of("first line", "second line"));
    }

    private record LineCollector(List<String> lines)
            implements java.util.concurrent.Flow.Subscriber<String> {
        @Override
        public void onSubscribe(java.util.concurrent.Flow.Subscription subscription) {
            subscription.request(Long.MAX_VALUE);
        }

        @Override
        public void onNext(String line) {
            lines.add(line);
        }

        @Override
        public void onError(Throwable error) {
            lines.add(error.toString());
        }

        @Override
        public void onComplete() {}
    }

    @Test
    public void aLargeBodyIsReadWhole() throws Exception {
        String body = "0123456789abcdef".repeat(1 << 17);
        server.answer(OK + lengthOf(body));
        for (int i = 0; i < 3; i++) {
            HttpResponse<InputStream> response =
                    client.send(request().build(), BodyHandlers.ofInputStream());
            String read = new String(response.body().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertTrue(read.equals(body), "length " + read.length());
        }
        assertEquals(server.connections(), 1);
    }

    @Test
    public void aClosedClientFailsItsRequests() throws Exception {
        server.answer(
                (head, connection) -> {
                    var unused = connection.getInputStream().read();
                    return false;
                });
        CompletableFuture<HttpResponse<String>> pending =
                client.sendAsync(request().build(), BodyHandlers.ofString());
        while (server.requests.isEmpty()) {
            Thread.sleep(5);
        }
        client.shutdownNow();
        assertThrows(CompletionException.class, pending::join);
        assertTrue(client.awaitTermination(TIMEOUT));
        assertThrows(
                IOException.class, () -> client.send(request().build(), BodyHandlers.ofString()));
    }
}
