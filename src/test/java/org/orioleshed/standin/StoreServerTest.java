package org.orioleshed.standin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandler;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards the etcd subset served by the stand-in store, and its fault injection. */
public class StoreServerTest {
    private final HttpClient client = HttpClient.newHttpClient();
    private StoreServer store;

    @BeforeMethod
    public void open() {
        store = new StoreServer(new StoreSpec(0, 500, 2_000));
        store.open();
    }

    @AfterMethod
    public void close() {
        store.close();
    }

    private <T> HttpResponse<T> post(String path, String body, BodyHandler<T> handler)
            throws IOException, InterruptedException {
        URI uri = URI.create("http://127.0.0.1:" + store.port() + path);
        HttpRequest.BodyPublisher publisher =
                HttpRequest.BodyPublishers.ofString(body.replace('\'', '"'));
        return client.send(HttpRequest.newBuilder(uri).POST(publisher).build(), handler);
    }

    private JsonNode json(String path, String body) throws IOException, InterruptedException {
        return JsonHttpServer.JSON.readTree(post(path, body, BodyHandlers.ofByteArray()).body());
    }

    private static String base64(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    private JsonNode compareAndSwap(String key, long revision)
            throws IOException, InterruptedException {
        String body =
                String.format(
                        "{'compare':[{'key':'%1$s','target':'MOD','mod_revision':'%2$d'}],"
                                + "'success':[{'request_put':{'key':'%1$s','value':'dg=='}}],"
                                + "'failure':[{'requestRange':{'key':'%1$s'}}]}",
                        base64(key), revision);
        return json("/v3/kv/txn", body);
    }

    @Test
    public void failedCompareAndSwapReturnsCurrentValue() throws Exception {
        assertTrue(compareAndSwap("k", 0).path("succeeded").asBoolean());
        JsonNode second = compareAndSwap("k", 0);
        assertFalse(second.path("succeeded").asBoolean());
        JsonNode current = second.at("/responses/0/response_range/kvs/0");
        assertEquals(current.path("value").asText(), "dg==");
        long revision = current.path("mod_revision").asLong();
        assertTrue(compareAndSwap("k", revision).path("succeeded").asBoolean());
    }

    @Test
    public void writeTakesEffectWhenResponseIsLost() throws Exception {
        json("/standin/faults", "{'loseAnswers':1}");
        assertThrows(IOException.class, () -> compareAndSwap("k", 0));
        JsonNode read = json("/v3/kv/range", "{'key':'" + base64("k") + "'}");
        assertEquals(read.path("count").asText(), "1");
    }

    @Test
    public void downStoreHasNoEffectAndSendsNoResponse() throws Exception {
        json("/standin/faults", "{'down':true}");
        assertThrows(IOException.class, () -> compareAndSwap("k", 0));
        json("/standin/faults", "{}");
        assertTrue(compareAndSwap("k", 0).path("succeeded").asBoolean());
    }

    @Test
    public void watchReceivesChangesAndCountsAsOneCall() throws Exception {
        String body =
                String.format(
                        "{'create_request':{'key':'%s','range_end':'%s','start_revision':'1'}}",
                        base64("a/"), base64("a0"));
        try (var lines =
                new BufferedReader(
                        new InputStreamReader(
                                post("/v3/watch", body, BodyHandlers.ofInputStream()).body(),
                                StandardCharsets.UTF_8))) {
            assertTrue(lines.readLine().contains("\"created\":true"));
            compareAndSwap("a/x", 0);
            JsonNode event =
                    JsonHttpServer.JSON.readTree(lines.readLine()).at("/result/events/0/kv");
            assertEquals(event.path("key").asText(), base64("a/x"));
        }
        assertEquals(json("/standin/counts", "{}").path("watches").asInt(), 1);
    }

    @Test
    public void writesAboveRateAreRefused() throws Exception {
        store.close();
        store = new StoreServer(new StoreSpec(0, 1, 2_000));
        store.open();
        compareAndSwap("a", 0);
        String body = "{'key':'" + base64("k") + "','value':''}";
        assertEquals(post("/v3/kv/put", body, BodyHandlers.discarding()).statusCode(), 429);
    }

    @Test
    public void malformedInputIsRejectedAndStoreStaysAvailable() throws Exception {
        int status = post("/v3/kv/range", "{'key':", BodyHandlers.discarding()).statusCode();
        assertEquals(status, 400);
        assertTrue(compareAndSwap("k", 0).path("succeeded").asBoolean());
    }
}
