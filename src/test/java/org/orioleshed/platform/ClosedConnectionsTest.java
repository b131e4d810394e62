package org.orioleshed.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.orioleshed.catalog.WatchTiming;
import org.orioleshed.platform.WorkerFake.Script;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Generated tests of requests that arrive while a host is about to close their connection, for each
 * reason to close it and each lateness of the host. Each whole request is answered or refused.
 */
public class ClosedConnectionsTest {
    private static final long LONG_IDLE_MILLIS = 15_000;
    private static final long IDLE_MILLIS = 300;

    /** A host closes connections later than the idle timeout by what a change of it may take. */
    private static final long CHANGE_MILLIS = WatchTiming.DEFAULT.boundMillis();

    private static final long SHORT_IDLE_MILLIS = 1_000;
    private static final long GRACE_MILLIS = 2_000;

    /** The part of the grace period in which a host serves; see {@code ShutdownPolicy}. */
    private static final long SERVICE_MILLIS = 1_800;

    private static final long DEADLINE_MILLIS = 900;

    /** The data thread is blocked for these times, while the request arrives. */
    private static final long[] STALLS_MILLIS = {0, 300, 600, 1_000};

    /** The stall begins this long before the host would close the connection. */
    private static final long LEAD_MILLIS = 200;

    /** When the request is sent, after the stall began. */
    private static final long SEND_DELAY_MILLIS = 30;

    /** When the rest of a request is sent, after the stall ended. */
    private static final long REST_DELAY_MILLIS = 50;

    /** A configuration that is in force applies to all connections within this time. */
    private static final long SETTLE_MILLIS = 250;

    /** Why the host is about to close connections. */
    private enum Reason {
        /** The connection has been idle for nearly as long as the host keeps it. */
        IDLE(IDLE_MILLIS, IDLE_MILLIS + CHANGE_MILLIS, Use.KEPT),

        /** A new configuration has made the idle timeout shorter. */
        SHORTER_TIMEOUT(SHORT_IDLE_MILLIS, SHORT_IDLE_MILLIS + CHANGE_MILLIS, Use.KEPT),

        /** The host stops, and the balancer soon sends nothing more. */
        STOPPING(LONG_IDLE_MILLIS, GRACE_MILLIS / 2, Use.KEPT),

        /** The host stops, and its service ends soon; the connection is new. */
        END_OF_SERVICE(LONG_IDLE_MILLIS, SERVICE_MILLIS, Use.OPENED),

        /** The same with a connection that waits in the listener's backlog. */
        END_OF_LISTENER(LONG_IDLE_MILLIS, SERVICE_MILLIS, Use.IN_BACKLOG);

        private final long idleTimeoutMillis;
        private final long closeMillis;
        private final Use use;

        Reason(long idleTimeoutMillis, long closeMillis, Use use) {
            this.idleTimeoutMillis = idleTimeoutMillis;
            this.closeMillis = closeMillis;
            this.use = use;
        }
    }

    /** What the connection was used for before the request. */
    private enum Use {
        /** It carried a request. */
        KEPT,
        /** It was opened just before the host is late. */
        OPENED,
        /** It is opened while the host is late. */
        IN_BACKLOG
    }

    /** How the request arrives. */
    private enum Arrival {
        WHOLE,
        IN_TWO_PARTS,
        /** Two requests at once; only the first one needs an answer, if it ends the connection. */
        PIPELINED
    }

    /** The caller of a long stream; kept, as an unreachable socket is closed. */
    private Socket longCaller;

    @AfterMethod
    public void closeLongCaller() throws IOException {
        if (longCaller != null) {
            longCaller.close();
            longCaller = null;
        }
    }

    @DataProvider
    Object[][] cases() {
        List<Object[]> rows = new ArrayList<>();
        for (Reason reason : Reason.values()) {
            for (long stallMillis : STALLS_MILLIS) {
                rows.add(new Object[] {reason, stallMillis});
            }
        }
        return rows.toArray(Object[][]::new);
    }

    /** Guards against requests that end with their connection, neither answered nor refused. */
    @Test(dataProvider = "cases")
    public void requestUnreadWhenItsConnectionIsClosedIsAnswered(Reason reason, long stallMillis)
            throws Exception {
        try (Fleet fleet = Fleet.withIdleTimeout(reason.idleTimeoutMillis, GRACE_MILLIS)) {
            Map<Arrival, KeptConnection> connections = new EnumMap<>(Arrival.class);
            if (reason.use == Use.KEPT) {
                connect(fleet, connections);
                useOnce(connections);
            }
            // The first connection has been idle for longest.
            long idleNanos = System.nanoTime();
            prepare(fleet, reason);
            sleepUntil(idleNanos, reason.closeMillis - LEAD_MILLIS);
            if (reason.use == Use.OPENED) {
                connect(fleet, connections);
            }
            if (stallMillis > 0) {
                fleet.blockDataThread(stallMillis);
            }
            long stallNanos = System.nanoTime();
            if (reason.use == Use.IN_BACKLOG) {
                connect(fleet, connections);
            }
            Thread.sleep(SEND_DELAY_MILLIS);
            for (Arrival arrival : Arrival.values()) {
                connections.get(arrival).send(firstPart(arrival));
            }
            sleepUntil(stallNanos, stallMillis + REST_DELAY_MILLIS);
            connections.get(Arrival.IN_TWO_PARTS).sendWhileOpen("cd");
            for (Arrival arrival : Arrival.values()) {
                checkAnswer(connections.get(arrival), arrival, fleet);
                connections.get(arrival).close();
            }
            assertFalse(fleet.log().matches("(?s).*event=stopped.*event=done.*"), fleet.log());
        }
    }

    private static void connect(Fleet fleet, Map<Arrival, KeptConnection> connections)
            throws IOException {
        for (Arrival arrival : Arrival.values()) {
            connections.put(arrival, new KeptConnection(fleet.connect()));
        }
    }

    private static void useOnce(Map<Arrival, KeptConnection> connections) throws IOException {
        for (KeptConnection connection : connections.values()) {
            String response = connection.exchange(KeptConnection.request("first", 5_000, "ab"));
            assertTrue(response.startsWith("HTTP/1.1 200"), response);
        }
    }

    private void prepare(Fleet fleet, Reason reason) throws IOException {
        switch (reason) {
            case IDLE -> {}
            case SHORTER_TIMEOUT -> fleet.changeIdleTimeout(2, IDLE_MILLIS);
            case STOPPING -> stop(fleet);
            case END_OF_SERVICE, END_OF_LISTENER -> {
                longCaller = fleet.keepBusy();
                stop(fleet);
            }
        }
    }

    private static void stop(Fleet fleet) {
        Thread.ofVirtual().start(fleet::stop);
        Fleet.await(() -> fleet.log().contains("event=leaving"));
    }

    private static void sleepUntil(long fromNanos, long millis) throws InterruptedException {
        long passedMillis = (System.nanoTime() - fromNanos) / 1_000_000;
        Thread.sleep(Math.max(0, millis - passedMillis));
    }

    private static String firstPart(Arrival arrival) {
        String request = KeptConnection.request("r-" + arrival, DEADLINE_MILLIS, "abcd");
        return switch (arrival) {
            case WHOLE -> request;
            case IN_TWO_PARTS -> request.substring(0, request.length() - 2);
            case PIPELINED -> request + KeptConnection.request("second", DEADLINE_MILLIS, "ab");
        };
    }

    private static void checkAnswer(KeptConnection connection, Arrival arrival, Fleet fleet)
            throws IOException {
        String response = connection.response();
        assertTrue(isAnswer(response), arrival + ": '" + response + "'\n" + fleet.log());
        if (arrival == Arrival.PIPELINED && !response.contains("onnection: close")) {
            String second = connection.response();
            assertTrue(isAnswer(second), "second: '" + second + "'\n" + fleet.log());
        }
    }

    /** Returns whether a response is a server's answer, or a refusal that proves "not run". */
    private static boolean isAnswer(String response) {
        return response.startsWith("HTTP/1.1 200")
                || response.startsWith("HTTP/1.1 429")
                || response.startsWith("HTTP/1.1 503");
    }

    @DataProvider
    Object[][] partsOfRequests() {
        String request = KeptConnection.request("part", DEADLINE_MILLIS, "abcd");
        return new Object[][] {
            {request.substring(0, 10)},
            {request.substring(0, request.indexOf("Api-Key"))},
            {request.substring(0, request.length() - 4)},
            {request.substring(0, request.length() - 1)}
        };
    }

    /** Guards against a bare close for a request that arrives too slowly. */
    @Test(dataProvider = "partsOfRequests")
    public void requestReceivedInPartIsRefusedWhenItsTimeIsOver(String part) throws Exception {
        try (Fleet fleet = Fleet.withIdleTimeout(SHORT_IDLE_MILLIS, GRACE_MILLIS);
                KeptConnection connection = new KeptConnection(fleet.connect())) {
            String response = connection.exchange(part);
            assertTrue(response.startsWith("HTTP/1.1 408"), response + fleet.log());
            assertTrue(response.contains("onnection: close"), response);
        }
    }

    /**
     * Guards against a bare close for a request of which the end of the host left a part unread.
     */
    @Test(dataProvider = "partsOfRequests")
    public void requestReceivedInPartIsRefusedWhenTheServiceEnds(String part) throws Exception {
        try (Fleet fleet = Fleet.withIdleTimeout(LONG_IDLE_MILLIS, GRACE_MILLIS)) {
            long beginNanos = System.nanoTime();
            prepare(fleet, Reason.END_OF_SERVICE);
            sleepUntil(beginNanos, SERVICE_MILLIS - LEAD_MILLIS);
            try (KeptConnection connection = new KeptConnection(fleet.connect())) {
                String response = connection.exchange(part);
                assertTrue(response.startsWith("HTTP/1.1 503"), response + fleet.log());
                assertTrue(response.contains("onnection: close"), response);
            }
        }
    }

    /**
     * Guards against a change of the configuration that closes connections which their callers may
     * still use, as a request may be on its way on any of them.
     */
    @Test
    public void connectionStaysOpenForAsLongAsItsCallerWasTold() throws Exception {
        try (Fleet fleet = Fleet.withIdleTimeout(LONG_IDLE_MILLIS, GRACE_MILLIS);
                KeptConnection before = new KeptConnection(fleet.connect())) {
            String response = before.exchange(KeptConnection.request("r1", 5_000, "ab"));
            assertTrue(response.contains("timeout=15"), response);
            fleet.changeIdleTimeout(2, SHORT_IDLE_MILLIS);
            try (KeptConnection after = new KeptConnection(fleet.connect())) {
                response = after.exchange(KeptConnection.request("r2", 5_000, "ab"));
                assertTrue(response.contains("timeout=1\r\n"), response);
                assertEquals(after.response(), KeptConnection.NONE);
            }
            response = before.exchange(KeptConnection.request("r3", 5_000, "ab"));
            assertTrue(response.startsWith("HTTP/1.1 200"), response + fleet.log());
        }
    }

    @DataProvider
    Object[][] bodyLengths() {
        return new Object[][] {{100_000}, {1_000_000}, {4_000_000}};
    }

    /**
     * Guards against a refusal that its caller can't read, since the connection is reset by the
     * part of the request that the host did not read.
     */
    @Test(dataProvider = "bodyLengths")
    public void refusalOfARequestThatIsNotReadReachesItsCaller(int bodyBytes) throws Exception {
        try (Fleet fleet = Fleet.withIdleTimeout(LONG_IDLE_MILLIS, GRACE_MILLIS);
                KeptConnection connection = new KeptConnection(fleet.connect())) {
            String request = KeptConnection.request("large", 5_000, "x".repeat(bodyBytes));
            connection.send(request.substring(0, request.length() - bodyBytes));
            Thread.sleep(REST_DELAY_MILLIS);
            connection.sendWhileOpen(request.substring(request.length() - bodyBytes));
            String response = connection.response();
            assertTrue(response.startsWith("HTTP/1.1 413"), response + fleet.log());
        }
    }

    /** Guards against a kept connection that holds a request to an earlier limit on its head. */
    @Test
    public void limitOnHeadsThatIsInForceAppliesToKeptConnections() throws Exception {
        try (Fleet fleet = Fleet.withIdleTimeout(LONG_IDLE_MILLIS, GRACE_MILLIS);
                KeptConnection connection = new KeptConnection(fleet.connect())) {
            String request = KeptConnection.request("r1", 5_000, "ab");
            assertTrue(connection.exchange(request).startsWith("HTTP/1.1 200"));
            fleet.changeHeaderLimit(2, 8_192);
            Thread.sleep(SETTLE_MILLIS);
            String longHead =
                    request.replace(
                            "Host: h\r\n", "Host: h\r\nX-Long: " + "x".repeat(6_000) + "\r\n");
            String response = connection.exchange(longHead);
            assertTrue(response.startsWith("HTTP/1.1 200"), response + fleet.log());
            fleet.changeHeaderLimit(3, 4_096);
            Thread.sleep(SETTLE_MILLIS);
            response = connection.exchange(longHead);
            assertTrue(response.startsWith("HTTP/1.1 431"), response + fleet.log());
        }
    }

    /**
     * Guards against a connection that was said to stay open, and is closed after a stream that
     * ends while the host stops, before the next request on it.
     */
    @Test
    public void requestBehindAStreamIsAnsweredWhenTheHostStopsMeanwhile() throws Exception {
        try (Fleet fleet = Fleet.withIdleTimeout(LONG_IDLE_MILLIS, GRACE_MILLIS);
                KeptConnection connection = new KeptConnection(fleet.connect())) {
            int events = 70;
            fleet.first.script(Script.streaming(1, events, 20));
            connection.send(
                    Fleet.request("/s/x", "stream", "").replace("Connection: close\r\n", ""));
            connection.skipPast("\r\n\r\n");
            fleet.first.script(Script.answering(200, "ok"));
            // The stream ends between the balancer's last request and the end of the service.
            stop(fleet);
            connection.send(KeptConnection.request("next", 5_000, "ab"));
            connection.skipPast("\r\n0\r\n\r\n");
            String response = connection.response();
            assertTrue(isAnswer(response), "'" + response + "'\n" + fleet.log());
        }
    }
}
