package org.orioleshed.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.orioleshed.http.MalformedResponses;
import org.orioleshed.http.ScriptedServer;
import org.orioleshed.model.Payload;
import org.orioleshed.store.Store.Result;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link EtcdStore} with malformed responses, which state nothing. */
public class MalformedResponsesOfEtcdTest {
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final String BODY =
            "{\"header\":{\"revision\":\"3\"},\"succeeded\":true,\"ID\":\"7\",\"TTL\":\"60\"}";

    private ScriptedServer server;
    private EtcdStore store;

    @BeforeMethod
    public void open() throws IOException {
        server = new ScriptedServer();
        store = new EtcdStore(List.of(server.address()), EtcdStore.Options.DEFAULT);
    }

    @AfterMethod
    public void close() throws IOException {
        store.close();
        server.close();
    }

    /** Sends one call of each kind to the store. */
    private List<CompletableFuture<Result>> callAll() {
        return List.of(
                store.get("k", TIMEOUT_MILLIS),
                store.list("k", TIMEOUT_MILLIS),
                store.swap("k", StoreRevision.NONE, Payload.of("v"), 7, TIMEOUT_MILLIS),
                store.grantLease(60_000, TIMEOUT_MILLIS),
                store.keepAlive(7, TIMEOUT_MILLIS));
    }

    /** Guards against entries, writes and leases that no response states. */
    @Test(
            dataProvider = "malformed",
            dataProviderClass = MalformedResponses.class,
            timeOut = 10_000)
    public void aMalformedResponseLeavesTheOutcomeUnknown(String template) {
        server.answer(MalformedResponses.fill(template, "", BODY));
        for (CompletableFuture<Result> call : callAll()) {
            Result result = call.join();
            assertTrue(result instanceof Result.Unknown, template + result);
        }
    }

    /** Guards against an empty store, read from a response that ended before its body. */
    @Test(timeOut = 10_000)
    public void aResponseWithoutContentStatesNothing() {
        server.answer(
                (head, connection) -> {
                    ScriptedServer.write(connection, "HTTP/1.1 200 OK\r\n\r\n");
                    return false;
                });
        for (CompletableFuture<Result> call : callAll()) {
            Result result = call.join();
            assertTrue(result instanceof Result.Unknown, result.toString());
        }
    }

    /** Guards against changes that the store did not report. */
    @Test(
            dataProvider = "malformedHeads",
            dataProviderClass = MalformedResponses.class,
            timeOut = 10_000)
    public void aMalformedResponseIsNoWatch(String template) throws InterruptedException {
        server.answer(MalformedResponses.fill(template, "", change()));
        WatchRecorder seen = new WatchRecorder();
        store.watch("k", StoreRevision.NONE, seen);
        assertEquals(seen.take(), "broken", template);
    }

    private static String change() {
        String key = Base64.getEncoder().encodeToString("k".getBytes(StandardCharsets.UTF_8));
        return "{\"result\":{\"header\":{\"revision\":\"3\"},\"events\":[{\"kv\":{\"key\":\"%s\",\"mod_revision\":\"3\",\"value\":\"%s\"}}]}}\n"
                .formatted(key, key);
    }
}
