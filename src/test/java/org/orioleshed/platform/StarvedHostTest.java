package org.orioleshed.platform;

import static org.orioleshed.platform.Fleet.request;
import static org.orioleshed.platform.WorkerFake.bytes;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.orioleshed.platform.WorkerFake.Script;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests over sockets that a host whose data thread gets no processor time sends no request whose
 * caller has disconnected or whose time is over.
 */
public class StarvedHostTest {
    private static final long BLOCKED_MILLIS = 600;

    /** Shorter than a stall, so that a request read afterwards is served at once. */
    private static final long SHORT_MILLIS = 30;

    private Fleet fleet;

    @BeforeMethod
    public void open() throws IOException {
        fleet = Fleet.with(4_000, 1, 2_000);
    }

    @AfterMethod
    public void close() throws IOException {
        fleet.close();
    }

    /** Occupies the only slot of the server until the latch is released. */
    private Socket occupy(CountDownLatch release) throws IOException {
        fleet.first.script(
                (request, out, in) -> {
                    release.await();
                    return Script.answering(200, "ok").play(request, out, in);
                });
        Socket socket = fleet.connect();
        socket.getOutputStream().write(bytes(request("/o/x", "r1", "")));
        Fleet.await(() -> fleet.first.requests.size() == 1);
        return socket;
    }

    private static String answer(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    /** Guards against a grant that is handled before the end of the caller's connection. */
    @Test
    public void grantAfterAStallIsNotUsedForADisconnectedCaller() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (Socket occupying = occupy(release)) {
            try (Socket waiting = fleet.connect()) {
                waiting.getOutputStream().write(bytes(request("/o/x", "r2", "")));
                Fleet.await(() -> fleet.requestsRead() == 2);
                fleet.blockDataThread(BLOCKED_MILLIS);
                release.countDown();
                Thread.sleep(BLOCKED_MILLIS / 4);
            }
            Fleet.await(() -> fleet.log().contains("event=done request=r2"));
            assertTrue(answer(occupying).startsWith("HTTP/1.1 200"));
        }
        assertEquals(fleet.first.requests.size(), 1);
        assertTrue(fleet.send(request("/o/x", "r3", "")).startsWith("HTTP/1.1 200"));
    }

    /** Guards against a grant that is handled before the timer of the request's deadline. */
    @Test
    public void grantAfterAStallIsNotUsedWhenTheTimeIsOver() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (Socket occupying = occupy(release);
                Socket waiting = fleet.connect()) {
            String shortRequest =
                    request("/o/x", "r2", "").replace("X-Deadline-Ms: 5000", "X-Deadline-Ms: 300");
            waiting.getOutputStream().write(bytes(shortRequest));
            Fleet.await(() -> fleet.requestsRead() == 2);
            fleet.blockDataThread(BLOCKED_MILLIS);
            release.countDown();
            assertTrue(answer(occupying).startsWith("HTTP/1.1 200"));
            String text = answer(waiting);
            assertTrue(text.startsWith("HTTP/1.1 503"), text);
            assertTrue(text.contains("Retry-After: "), text);
        }
        assertEquals(fleet.first.requests.size(), 1);
    }

    /** Guards against a request that is sent when its connection opened, after a stall. */
    @Test
    public void connectionOpenedDuringAStallIsNotUsedForADisconnectedCaller() throws Exception {
        // The server closes its connection, so that the next request opens another one.
        fleet.first.script(
                (request, out, in) -> {
                    Script.answering(200, "ok").play(request, out, in);
                    return false;
                });
        assertTrue(fleet.send(request("/o/x", "r1", "")).startsWith("HTTP/1.1 200"));
        fleet.blockDataThread(SHORT_MILLIS);
        try (Socket caller = fleet.connect()) {
            caller.getOutputStream().write(bytes(request("/o/x", "r2", "")));
            // Read in the same poll as the request, right after it was granted a server.
            fleet.blockDataThread(BLOCKED_MILLIS);
        }
        Fleet.await(() -> fleet.log().contains("event=done request=r2"));
        assertTrue(fleet.log().contains("outcome=\"caller_left\""), fleet.log());
        assertEquals(fleet.first.requests.size(), 1);
    }
}
