package org.orioleshed.platform;

import static org.orioleshed.platform.Fleet.request;
import static org.orioleshed.platform.WorkerFake.bytes;
import static org.orioleshed.platform.WorkerFake.chunk;
import static org.orioleshed.platform.WorkerFake.head;
import static org.orioleshed.platform.WorkerFake.length;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import org.orioleshed.platform.WorkerFake.Script;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests over sockets of the path of a request: caller, gateway, store and servers. */
public class GatewayPathTest {
    private static final long TIMEOUT_MILLIS = 4_000;

    private Fleet fleet;

    @BeforeMethod
    public void open() throws IOException {
        fleet = new Fleet(TIMEOUT_MILLIS, 100_000);
    }

    @AfterMethod
    public void close() throws IOException {
        fleet.close();
    }

    private static String status(String response) {
        return response.isEmpty() ? "none" : response.substring(9, 12);
    }

    @Test
    public void requestWaitsUntilServersAreRead() throws IOException {
        fleet.close();
        fleet = Fleet.withoutServers(TIMEOUT_MILLIS);
        AtomicInteger status = new AtomicInteger();
        Thread caller =
                Thread.ofVirtual()
                        .start(() -> status.set(Integer.parseInt(status(sendRequest("/o/x")))));
        Fleet.await(() -> log().contains("event=config_in_force"));
        fleet.store.hideServers(false);
        Fleet.await(() -> !caller.isAlive());
        assertEquals(status.get(), 200);
    }

    private String sendRequest(String path) {
        return sendQuietly(request(path, "r1", ""));
    }

    @Test
    public void forwardsRequestAndResponse() throws IOException {
        String response = fleet.send(request("/o/x?q=1", "r1", "body"));
        assertEquals(status(response), "200");
        assertTrue(response.contains("X-Response-Signature: s"));
        assertTrue(response.endsWith("\r\n\r\nok"));
        WorkerFake.Request seen = fleet.first.requests.getFirst();
        assertEquals(seen.line(), "POST /o/x?q=1 HTTP/1.1");
        assertEquals(seen.body(), "body");
        assertEquals(seen.headers().get("x-tenant"), "ws");
        assertEquals(seen.headers().get("x-expect-instance"), "i-1");
        assertFalse(seen.headers().containsKey("api-key"));
        assertTrue(Integer.parseInt(seen.headers().get("x-deadline-ms")) <= TIMEOUT_MILLIS);
    }

    @Test
    public void readsChunkedBody() throws IOException {
        String response =
                fleet.send(
                        "POST /p/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                                + "Transfer-Encoding: chunked\r\n\r\n"
                                + chunk("bo")
                                + chunk("dy")
                                + "0\r\n\r\n");
        assertEquals(status(response), "200");
        assertEquals(fleet.first.requests.getFirst().body(), "body");
    }

    @Test
    public void pipelinedRequestsAreAnsweredInOrder() throws IOException {
        String first = request("/i/a", "r1", "").replace("Connection: close\r\n", "");
        String responses = fleet.send(first + request("/i/b", "r2", ""));
        assertTrue(responses.indexOf("X-Request-Id: r1") < responses.indexOf("X-Request-Id: r2"));
        assertEquals(responses.split("HTTP/1.1 200", -1).length, 3);
    }

    @DataProvider
    Object[][] refusals() {
        return new Object[][] {
            {request("/none/", "r", ""), "404"},
            {request("/s/x", "r", "").replace("Api-Key: key", "Api-Key: odd"), "401"},
            {request("/s/x", "r", "").replace("Api-Key: key\r\n", ""), "401"},
            {request("/s/x", "r", "").replace("Host: h", "Host: other"), "404"},
            {request("/s/x", "r", "").replace("Host: h\r\n", ""), "400"},
            {request("/s/x", "r", "").replace("Host: h", "Host: h\r\nHost: g"), "400"},
            {
                request("/s/x", "r", "ab")
                        .replace("Content-Length", "Transfer-Encoding: chunked\r\nContent-Length"),
                "400"
            },
            {
                request("/s/x", "r", "ab")
                        .replace("Content-Length: 2", "Content-Length: 2\r\nContent-Length: 3"),
                "400"
            },
            {
                request("/s/x", "r", "ab")
                        .replace("Content-Length: 2", "Transfer-Encoding: gzip, chunked"),
                "400"
            },
            {request("/s/x", "r", "").replace("Content-Length: 0", "Content-Length: x"), "400"},
            {request("/s/x", "r", "").replace("Content-Length: 0", "Content-Length: 70000"), "413"},
            {request("/s/x", "r", "").replace("X-Deadline", "X-" + "a".repeat(5_000)), "431"},
            {"\u0001\u0002\u0003\r\n\r\n", "400"},
        };
    }

    @Test(dataProvider = "refusals")
    public void badInputIsRejectedAndReachesNoServer(String bytes, String expected)
            throws IOException {
        assertEquals(status(fleet.send(bytes)), expected);
        assertTrue(fleet.first.requests.isEmpty());
        assertEquals(status(fleet.send(request("/o/x", "r1", ""))), "200");
    }

    @Test
    public void forwardsEventsOfAStream() throws IOException {
        fleet.first.script(Script.streaming(1, 5, 1));
        String response = fleet.send(request("/s/x", "r1", ""));
        assertEquals(status(response), "200");
        assertTrue(response.contains("data: e5"));
        assertTrue(response.endsWith("0\r\n\r\n"));
    }

    @Test
    public void brokenStreamResumesAtAnotherServerWithoutGapOrRepeat() throws IOException {
        fleet.first.script(
                (request, out, in) -> {
                    out.write(bytes(head(request, 200, true) + WorkerFake.STREAM));
                    out.write(bytes(chunk("id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\nda")));
                    fleet.addSecond();
                    return false;
                });
        fleet.second.script(Script.streaming(3, 4, 1));
        String response = fleet.send(request("/s/x", "r1", ""));
        assertTrue(response.endsWith("0\r\n\r\n"), response);
        String events = response.replaceAll("(?m)^[0-9a-f]+\r\n|\r\n", "");
        int last = 0;
        for (int event = 1; event <= 4; event++) {
            int position = events.indexOf("data: e" + event);
            assertTrue(position > last, response);
            assertEquals(events.indexOf("data: e" + event, position + 1), -1, response);
            last = position;
        }
        assertEquals(fleet.second.requests.getFirst().headers().get("last-event-id"), "2");
    }

    /** The stream has neither a length nor chunks, and its connection ends inside an event. */
    @Test
    public void anUnframedStreamThatEndsInsideAnEventResumesAtAnotherServer() throws IOException {
        fleet.first.script(
                (request, out, in) -> {
                    out.write(bytes(head(request, 200, true)));
                    out.write(bytes("Content-Type: text/event-stream\r\n\r\n"));
                    out.write(bytes("id: 1\ndata: e1\n\nid: 2\nda"));
                    fleet.addSecond();
                    return false;
                });
        fleet.second.script(Script.streaming(2, 3, 1));
        String response = fleet.send(request("/s/x", "r1", ""));
        UnframedAnswersTest.checkUnstated(
                response, 200, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n");
        assertEquals(fleet.second.requests.getFirst().headers().get("last-event-id"), "1");
    }

    @Test
    public void anUnframedStreamThatEndsAfterAnEventIsComplete() throws IOException {
        fleet.first.script(
                (request, out, in) -> {
                    out.write(bytes(head(request, 200, true)));
                    out.write(bytes("Content-Type: text/event-stream\r\n\r\n"));
                    out.write(bytes("id: 1\ndata: e1\n\n"));
                    return false;
                });
        String response = fleet.send(request("/s/x", "r1", ""));
        UnframedAnswersTest.checkUnstated(response, 200, "id: 1\ndata: e1\n\n");
    }

    @Test
    public void anUnframedAnswerIsPassedOnWhole() throws IOException {
        fleet.first.script(
                (request, out, in) -> {
                    out.write(bytes(head(request, 200, true) + "\r\nwhole"));
                    return false;
                });
        String response = fleet.send(request("/o/x", "r1", ""));
        assertEquals(status(response), "200");
        assertTrue(response.endsWith("\r\n\r\nwhole"), response);
    }

    private String log() {
        return fleet.logBytes.toString(StandardCharsets.UTF_8);
    }

    @DataProvider
    Object[][] faults() {
        Script cut =
                (request, out, in) -> {
                    out.write(bytes(head(request, 200, true) + "Content-Length: 9\r\n\r\nok"));
                    return false;
                };
        Script unsigned =
                (request, out, in) -> {
                    out.write(bytes(head(request, 200, false) + length("ok") + "ok"));
                    return true;
                };
        Script garbage =
                (request, out, in) -> {
                    out.write(bytes("SSH-2.0 \u0000\u0001\r\n\r\n"));
                    return false;
                };
        Script closed = (request, out, in) -> false;
        return new Object[][] {{cut}, {unsigned}, {garbage}, {closed}};
    }

    @Test(dataProvider = "faults")
    public void callThatMayHaveRunIsNotRetriedNorReportedAsNotRun(Script fault) throws IOException {
        fleet.first.script(fault);
        String response = fleet.send(request("/o/x", "r1", ""));
        assertEquals(status(response), "502");
        assertEquals(fleet.first.requests.size(), 1);
        assertFalse(response.contains("X-Response-Signature"));
    }

    @Test(dataProvider = "faults")
    public void idempotentCallIsRetriedAtAnotherServer(Script fault) throws IOException {
        fleet.first.script(fault);
        fleet.second.script(fault);
        fleet.addSecond();
        AtomicInteger remainingFaults = new AtomicInteger(1);
        Script once =
                (request, out, in) ->
                        remainingFaults.getAndDecrement() > 0
                                ? fault.play(request, out, in)
                                : Script.answering(200, "ok").play(request, out, in);
        fleet.first.script(once);
        fleet.second.script(once);
        assertEquals(status(fleet.send(request("/i/x", "r1", ""))), "200");
        assertEquals(fleet.first.requests.size(), 1);
        assertEquals(fleet.second.requests.size(), 1);
    }

    @Test
    public void refusedCallIsRetriedAtAnotherServer() throws IOException {
        AtomicInteger remainingFaults = new AtomicInteger(1);
        Script full =
                (request, out, in) -> {
                    if (remainingFaults.getAndDecrement() > 0) {
                        out.write(
                                bytes(
                                        head(request, 503, false)
                                                + "X-Not-Executed: 1\r\n"
                                                + length("")));
                        return true;
                    }
                    return Script.answering(200, "ok").play(request, out, in);
                };
        fleet.first.script(full);
        fleet.second.script(full);
        fleet.addSecond();
        assertEquals(status(fleet.send(request("/o/x", "r1", ""))), "200");
    }

    @Test
    public void notRunResponseHasRetryAfter() throws IOException {
        fleet.first.script(
                (request, out, in) -> {
                    out.write(bytes(head(request, 421, false) + length("")));
                    return true;
                });
        String response = fleet.send(request("/o/x", "r1", ""));
        assertEquals(status(response), "503");
        assertTrue(response.contains("Retry-After: "), response);
    }

    @Test
    public void serverFailureIsForwarded() throws IOException {
        fleet.first.script(Script.answering(500, "sorry"));
        String response = fleet.send(request("/o/x", "r1", ""));
        assertEquals(status(response), "500");
        assertTrue(response.endsWith("sorry"));
    }

    @Test
    public void unsigned503IsNotForwardedAsNotRun() throws IOException {
        fleet.first.script(
                (request, out, in) -> {
                    out.write(bytes(head(request, 503, false) + length("")));
                    return true;
                });
        assertEquals(status(fleet.send(request("/o/x", "r1", ""))), "502");
    }

    @Test
    public void lateResponseToAnotherRequestIsDiscarded() throws IOException {
        fleet.first.script(
                (request, out, in) -> {
                    out.write(
                            bytes(
                                    "HTTP/1.1 200 X\r\nX-Request-Id: other\r\n"
                                            + "X-Response-Signature: s\r\n"
                                            + length("old")
                                            + "old"));
                    return Script.answering(200, "new").play(request, out, in);
                });
        String response = fleet.send(request("/o/x", "r1", ""));
        assertTrue(response.endsWith("new"), response);
        assertFalse(response.contains("old"));
    }

    @Test
    public void truncatedStreamIsNotTerminated() throws IOException {
        fleet.first.script(
                (request, out, in) -> {
                    out.write(bytes(head(request, 200, true) + WorkerFake.STREAM));
                    out.write(bytes(chunk("id: 1\ndata: e1\n\n")));
                    return false;
                });
        String response;
        try {
            response = fleet.send(request("/s/x", "r1", ""));
        } catch (IOException e) {
            response = "reset";
        }
        assertFalse(response.endsWith("0\r\n\r\n"), response);
    }

    @Test
    public void callerDisconnectCancelsTheCallAtTheServer() throws IOException {
        AtomicInteger ended = new AtomicInteger();
        fleet.first.script(
                (request, out, in) -> {
                    ended.set(in.read() < 0 ? 1 : 2);
                    return false;
                });
        try (Socket socket = fleet.connect()) {
            socket.getOutputStream().write(bytes(request("/s/x", "r1", "")));
            Fleet.await(() -> fleet.first.requests.size() == 1);
        }
        Fleet.await(() -> ended.get() == 1);
    }

    /** The data thread is blocked, and the caller disconnects before its request is read. */
    @Test
    public void requestOfDisconnectedCallerIsNotRun() throws Exception {
        fleet.first.script(Script.streaming(1, 2, 1));
        String keepAliveRequest = request("/s/x", "r1", "").replace("Connection: close\r\n", "");
        try (Socket socket = fleet.connect()) {
            socket.getOutputStream().write(bytes(keepAliveRequest));
            Fleet.await(() -> log().contains("event=done request=r1"));
            fleet.blockDataThread(600);
            socket.getOutputStream().write(bytes(keepAliveRequest.replace("r1", "r2")));
        }
        Fleet.await(() -> log().contains("event=done request=r2"));
        assertEquals(fleet.first.requests.size(), 1);
        assertEquals(status(fleet.send(request("/s/x", "r3", ""))), "200");
    }

    @Test
    public void routeTimeoutIsAnswered() throws IOException {
        fleet.first.script(
                (request, out, in) -> {
                    int unused = in.read();
                    return false;
                });
        assertEquals(status(fleet.send(request("/o/x", "r1", ""))), "504");
    }

    @Test
    public void newConfigurationAndRemovedServerTakeEffect() throws IOException {
        fleet.store.put(
                "op/config",
                Fleet.CONFIG.formatted(TIMEOUT_MILLIS, 100_000).replace("\"/o/\"", "\"/n/\""));
        Fleet.await(() -> log().contains("event=config_in_force revision=1:13"));
        assertEquals(status(fleet.send(request("/o/x", "r1", ""))), "404");
        assertEquals(status(fleet.send(request("/n/x", "r2", ""))), "200");
        fleet.store.delete("servers/i-1");
        Fleet.await(() -> log().contains("event=server_gone key=servers/i-1"));
        assertEquals(status(fleet.send(request("/n/x", "r3", ""))), "503");
    }

    @Test
    public void survivesStoreOutageAndCompactedHistory() throws IOException {
        fleet.store.failWith(503);
        fleet.store.forgetHistory();
        assertEquals(status(fleet.send(request("/o/x", "r1", ""))), "200");
        fleet.store.put(
                "op/config",
                Fleet.CONFIG.formatted(TIMEOUT_MILLIS, 100_000).replace("\"/o/\"", "\"/n/\""));
        fleet.store.failWith(0);
        Fleet.await(() -> status(sendQuietly(request("/n/x", "r2", ""))).equals("200"));
    }

    private String sendQuietly(String bytes) {
        try {
            return fleet.send(bytes);
        } catch (IOException e) {
            return "";
        }
    }

    @Test
    public void callBeyondQuotaIsRefusedWithRetryAfter() throws IOException {
        fleet.close();
        fleet = new Fleet(TIMEOUT_MILLIS, 1);
        String response = "";
        for (int i = 0; i < 5 && !status(response).equals("429"); i++) {
            response = fleet.send(request("/i/x", "r" + i, ""));
        }
        assertEquals(status(response), "429");
        assertTrue(response.contains("Retry-After: "));
    }
}
