package org.orioleshed.platform;

import static org.orioleshed.platform.WorkerFake.bytes;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.orioleshed.catalog.WatchTiming;
import org.orioleshed.http.MalformedResponses;
import org.orioleshed.model.Payload;
import org.orioleshed.platform.WorkerFake.Script;
import org.orioleshed.store.Store.Result;
import org.orioleshed.store.StoreRevision;
import org.orioleshed.store.WatchRecorder;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of a store whose responses are broken. They say nothing of what the store holds, nor
 * whether a write took effect.
 */
public class MalformedStoreResponsesTest {
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final String ERA = "Store-Era: 1\r\n";
    private static final String BODY =
            "{\"key\":\"k\",\"items\":[],\"as-of\":3,\"revision\":3,\"lease\":7,\"ttl-ms\":60000}";

    private EventLoopGroup group;
    private WorkerFake server;
    private PlatformStore store;

    @BeforeMethod
    public void open() throws IOException {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        server = new WorkerFake();
        store =
                new PlatformStore(
                        new StoreCalls(group.next(), server.address()), WatchTiming.DEFAULT);
    }

    @AfterMethod
    public void close() throws IOException {
        store.close();
        server.close();
        var unused = group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static Script answering(String response, boolean keep) {
        return (request, out, in) -> {
            out.write(bytes(response));
            return keep;
        };
    }

    /** Sends one call of each kind to the store. */
    private List<Result> callAll() {
        List<CompletableFuture<Result>> calls =
                List.of(
                        store.get("k", TIMEOUT_MILLIS),
                        store.list("k", TIMEOUT_MILLIS),
                        store.swap(
                                "k", StoreRevision.NONE, Payload.of(bytes("v")), 7, TIMEOUT_MILLIS),
                        store.grantLease(1_000, TIMEOUT_MILLIS),
                        store.keepAlive(7, TIMEOUT_MILLIS));
        return calls.stream().map(CompletableFuture::join).toList();
    }

    /** Guards against entries, revisions, leases and conflicts that no response states. */
    @Test(dataProvider = "malformed", dataProviderClass = MalformedResponses.class)
    public void aMalformedResponseLeavesTheOutcomeUnknown(String template) {
        server.script(answering(MalformedResponses.fill(template, ERA, BODY), true));
        for (Result result : callAll()) {
            assertTrue(result instanceof Result.Unknown, template + result);
        }
        String conflict = template.replaceFirst("200", "412");
        server.script(answering(MalformedResponses.fill(conflict, ERA, BODY), true));
        for (Result result : callAll()) {
            assertTrue(result instanceof Result.Unknown, conflict + result);
        }
    }

    /** Guards against a check that refuses what the syntax allows. */
    @Test(dataProvider = "sound", dataProviderClass = MalformedResponses.class)
    public void aSoundResponseIsRead(String template) {
        server.script(answering(MalformedResponses.fill(template, ERA, BODY), true));
        List<Result> results = callAll();
        assertTrue(results.get(0) instanceof Result.Entries, results.toString());
        assertTrue(results.get(1) instanceof Result.Entries, results.toString());
        assertEquals(results.get(2), new Result.Swapped(new StoreRevision(1, 3)));
        assertEquals(results.get(3), new Result.Lease(7, 60_000, 1));
        assertEquals(results.get(4), new Result.Lease(7, 60_000, 1));
    }

    @DataProvider
    Object[][] unstated() {
        return new Object[][] {
            {"\r\n"}, {"\r\n{}"}, {"\r\n{\"items\":["}, {"Content-Length: 0\r\n\r\n"}, {"\r\n[]"},
        };
    }

    /** Only a response without a stated end ends its connection; others leave it to be reused. */
    private static boolean statesEnd(String rest) {
        return rest.startsWith("Content-Length:");
    }

    /**
     * Guards against an empty list, and a write without a revision, that no response states. The
     * renewal of a lease, the last call, is confirmed by its status.
     */
    @Test(dataProvider = "unstated")
    public void aResponseWithoutContentStatesNothing(String rest) {
        server.script(answering("HTTP/1.1 200 OK\r\n" + ERA + rest, statesEnd(rest)));
        for (Result result : callAll().subList(0, 4)) {
            assertTrue(result instanceof Result.Unknown, result.toString());
        }
        server.script(answering("HTTP/1.1 412 X\r\n" + ERA + rest, statesEnd(rest)));
        for (Result result : callAll()) {
            assertTrue(result instanceof Result.Unavailable, result.toString());
        }
    }

    /** Guards against a watch that goes on after changes that it was not told. */
    @Test(dataProvider = "unstated")
    public void aWatchWithoutContentBreaks(String rest) throws InterruptedException {
        server.script(answering("HTTP/1.1 200 OK\r\n" + ERA + rest, statesEnd(rest)));
        WatchRecorder seen = new WatchRecorder();
        store.watch("k", new StoreRevision(1, 1), seen);
        assertEquals(seen.take(), "broken");
    }
}
