package org.orioleshed.platform;

import static org.orioleshed.platform.WorkerFake.bytes;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotSame;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Which connections to servers are used again, and which are not. */
public class ServerConnectionsTest {
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final long STALL_MILLIS = 400;
    private static final long STEP_MILLIS = 100;

    /** How a server ends a connection on which it has answered. */
    private enum End {
        /** It closes the connection. */
        CLOSED,
        /** It resets the connection. */
        RESET
    }

    @DataProvider
    Object[][] ends() {
        return new Object[][] {{End.CLOSED}, {End.RESET}};
    }

    /**
     * Guards against a request that may run once, sent on a connection whose end lay unread while
     * the host had no processor time.
     */
    @Test(dataProvider = "ends")
    public void requestIsNotSentOnAConnectionThatTheServerEndedDuringAStall(End end)
            throws Exception {
        try (Fleet fleet = new Fleet(TIMEOUT_MILLIS, 100_000);
                KeptConnection caller = new KeptConnection(fleet.connect());
                Socket metrics = fleet.connectToMetrics()) {
            CountDownLatch ending = new CountDownLatch(1);
            fleet.first.script((request, out, in) -> answerAndEnd(request, out, ending, end));
            String first = caller.exchange(KeptConnection.request("first", TIMEOUT_MILLIS, "ab"));
            assertTrue(first.startsWith("HTTP/1.1 200"), first);
            fleet.first.script(WorkerFake.Script.answering(200, "ok"));
            fleet.blockDataThread(STALL_MILLIS);
            caller.send(KeptConnection.request("second", TIMEOUT_MILLIS, "ab"));
            Thread.sleep(STEP_MILLIS);
            // Read after the request, and before the request is sent on.
            fleet.blockDataThread(STALL_MILLIS, metrics);
            ending.countDown();
            String second = caller.response();
            assertTrue(second.startsWith("HTTP/1.1 200"), second + "\n" + fleet.log());
            assertEquals(fleet.first.requests.size(), 2);
        }
    }

    private static boolean answerAndEnd(
            WorkerFake.Request request, OutputStream out, CountDownLatch ending, End end)
            throws IOException, InterruptedException {
        out.write(bytes(WorkerFake.head(request, 200, true) + WorkerFake.length("ok") + "ok"));
        out.flush();
        ending.await();
        if (end == End.RESET) {
            throw new WorkerFake.ResetException();
        }
        return false;
    }

    /**
     * Guards against the use of an expired connection that became idle after one whose time is
     * longer, as the search for expired connections stopped at the first that was not.
     */
    @Test
    public void expiredConnectionIsNotUsedBehindOneWhoseTimeIsLonger() throws Exception {
        try (Fleet fleet = new Fleet(TIMEOUT_MILLIS, 100_000);
                KeptConnection caller = new KeptConnection(fleet.connect());
                KeptConnection otherCaller = new KeptConnection(fleet.connect())) {
            Map<String, InputStream> connections = new ConcurrentHashMap<>();
            CountDownLatch both = new CountDownLatch(2);
            CountDownLatch longAnswered = new CountDownLatch(1);
            fleet.first.script(
                    (request, out, in) -> {
                        connections.put(request.id(), in);
                        both.countDown();
                        both.await();
                        boolean isLong = request.id().equals("long");
                        if (!isLong) {
                            longAnswered.await();
                        }
                        return answerKeepAlive(request, out, isLong ? 60 : 2);
                    });
            caller.send(KeptConnection.request("long", TIMEOUT_MILLIS, "ab"));
            otherCaller.send(KeptConnection.request("short", TIMEOUT_MILLIS, "ab"));
            assertTrue(caller.response().startsWith("HTTP/1.1 200"));
            longAnswered.countDown();
            assertTrue(otherCaller.response().startsWith("HTTP/1.1 200"));
            // Connections are used for a second less than the server states.
            Thread.sleep(1_000 + STEP_MILLIS);
            String response = caller.exchange(KeptConnection.request("x", TIMEOUT_MILLIS, "ab"));
            assertTrue(response.startsWith("HTTP/1.1 200"), response);
            assertNotSame(connections.get("x"), connections.get("short"));
        }
    }

    private static boolean answerKeepAlive(
            WorkerFake.Request request, OutputStream out, int keepAliveSeconds) throws IOException {
        out.write(
                bytes(
                        WorkerFake.head(request, 200, true)
                                + "Keep-Alive: timeout=%d\r\n".formatted(keepAliveSeconds)
                                + WorkerFake.length("ok")
                                + "ok"));
        return true;
    }
}
