package org.orioleshed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.hash.Hashing;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.orioleshed.store.MemoryStore;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests of {@link EntryProcess} with its real threads: one host and a service that does not
 * respond.
 */
public class EntryProcessTest {
    private static final long TIMEOUT_SECONDS = 60;
    private static final String TREE =
            """
            {"tiers": {"urgent": {"rank": 0}},
             "routes": {"hold": {"service": "holds", "calls": {"book": {"repeatable": false}}}},
             "servers": {"defaults": {"domain": "suva-a", "places": 4, "cacheTokens": 0},
              "items": {"s1": {"address": "http://127.0.0.1:%d", "service": "holds",
               "version": "v1"}}},
             "workspaces": {"defaults": {"defaultTier": "urgent",
               "tiers": {"urgent": {"deadlineMillis": 60000}}},
              "items": {"w1": {"keyHashes": ["%s"]}}}}""";

    private final InetAddress loopback = InetAddress.getLoopbackAddress();
    private final CompletableFuture<Void> called = new CompletableFuture<>();
    private final CompletableFuture<Void> serviceReleased = new CompletableFuture<>();
    private HttpServer service;
    private InetSocketAddress callerAddress;
    private EntryProcess process;

    @BeforeMethod
    void start() throws IOException {
        service = HttpServer.create(new InetSocketAddress(loopback, 0), 0);
        service.createContext(
                "/",
                http -> {
                    called.complete(null);
                    serviceReleased.join();
                    http.close();
                });
        service.start();
        callerAddress = LocalHost.freeAddress();
        MemoryStore store = new MemoryStore();
        String hash = Hashing.sha256().hashString("secret", StandardCharsets.UTF_8).toString();
        store.put("orioleshed/settings/tree", TREE.formatted(service.getAddress().getPort(), hash));
        process = new EntryProcess(LocalHost.settings(callerAddress), store);
        process.start();
    }

    @AfterMethod
    void stop() {
        process.close();
        serviceReleased.complete(null);
        service.stop(0);
    }

    private HttpRequest.Builder to(String path) {
        return HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + callerAddress.getPort() + path));
    }

    @Test
    public void callStillRunningAtDrainTimeoutIsAnsweredInDoubtBeforeClose() throws Exception {
        HttpClient client = HttpClient.newHttpClient();
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (client.send(to("/readyz").build(), BodyHandlers.ofString()).statusCode() != 200) {
            assertTrue(
                    System.nanoTime() - deadlineNanos < 0,
                    "host did not become ready within " + TIMEOUT_SECONDS + " s");
        }
        HttpRequest call =
                to("/v1/services/hold/book")
                        .header("Authorization", "Bearer secret")
                        .header("Idempotency-Key", "k")
                        .POST(HttpRequest.BodyPublishers.ofString("{}"))
                        .build();
        CompletableFuture<HttpResponse<String>> answer =
                client.sendAsync(call, BodyHandlers.ofString());
        CompletableFuture.anyOf(called, answer).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertTrue(called.isDone(), called.isDone() ? "" : answer.join().body());
        process.requestStop();
        process.awaitStop();
        process.close();
        HttpResponse<String> response = answer.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertEquals(response.statusCode(), 504);
        assertTrue(response.body().contains("\"ran\":\"in_doubt\""), response.body());
    }
}
