package org.orioleshed.platform;

import static org.orioleshed.platform.Fleet.request;
import static org.orioleshed.platform.WorkerFake.bytes;
import static org.orioleshed.platform.WorkerFake.chunk;
import static org.orioleshed.platform.WorkerFake.head;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.atomic.AtomicLong;
import org.orioleshed.platform.WorkerFake.Script;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of servers that send without end what is no answer, on sockets. */
public class EndlessAnswersTest {
    private static final long TIMEOUT_MILLIS = 30_000;

    /** What may be read of an answer, and what fits into the buffers of both ends. */
    private static final long MAX_SENT_BYTES = 40L << 20;

    private Fleet fleet;
    private final AtomicLong sent = new AtomicLong();

    @BeforeMethod
    public void open() throws IOException {
        sent.set(0);
        fleet = new Fleet(TIMEOUT_MILLIS, 100_000);
    }

    @AfterMethod
    public void close() throws IOException {
        fleet.close();
    }

    /** Returns a server that sends a beginning, and then the same for as long as it is read. */
    private Script endless(String beginning, String part, boolean isAnswer) {
        String much = part.repeat(8_192 / part.length() + 1);
        return (request, out, in) -> {
            if (isAnswer) {
                out.write(bytes(head(request, 200, true)));
            }
            out.write(bytes(beginning));
            sendForever(out, bytes(much));
            return false;
        };
    }

    private void sendForever(OutputStream out, byte[] part) throws IOException {
        while (true) {
            out.write(part);
            sent.addAndGet(part.length);
        }
    }

    @DataProvider
    Object[][] endless() {
        return new Object[][] {
            {endless("", "\r\n", false)},
            {endless("", "\u0001", false)},
            {endless("HTTP/1.1 200 ", "x", false)},
            {endless("HTTP/1.1 200 X\r\n", "X-A: b\r\n", false)},
            {endless("HTTP/1.1 200 X\r\nX-A: ", "b", false)},
            {endless("", "HTTP/1.1 100 Continue\r\n\r\n", false)},
            {endless("", "HTTP/1.1 103 Hints\r\nX-A: b\r\n\r\n", false)},
            {endless("HTTP/1.1 200 X\r\nX-Request-Id: other\r\n\r\n", "y", false)},
            {endless("Transfer-Encoding: chunked\r\n\r\n", "1;", true)},
            {endless("Transfer-Encoding: chunked\r\n\r\n", "0", true)},
            {endless("Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n", true)},
            {endless("Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", true)},
            {endless("\r\n", "z", true)},
        };
    }

    @Test(dataProvider = "endless")
    public void theConnectionIsClosedAndTheCallNotCalledASuccess(Script fault) throws IOException {
        fleet.first.script(fault);
        String answer = fleet.send(request("/o/x", "r1", ""));
        assertTrue(
                answer.startsWith("HTTP/1.1 502"),
                answer.substring(0, Math.min(80, answer.length())));
        assertTrue(sent.get() < MAX_SENT_BYTES, "sent " + sent.get());
        assertEquals(fleet.first.requests.size(), 1);
    }

    @Test
    public void aBodyPastItsLengthEndsItsConnectionOnly() throws IOException {
        fleet.first.script(endless("Content-Length: 2\r\n\r\nok", "x", true));
        String answer = fleet.send(request("/o/x", "r1", ""));
        assertTrue(answer.endsWith("\r\n\r\nok"), answer);
        fleet.first.script(Script.answering(200, "next"));
        assertTrue(fleet.send(request("/o/x", "r2", "")).endsWith("next"));
        assertTrue(sent.get() < MAX_SENT_BYTES, "sent " + sent.get());
    }

    @Test
    public void aRefusalWithoutEndIsStillARefusal() throws IOException {
        fleet.first.script(
                (request, out, in) -> {
                    out.write(bytes(head(request, 503, false) + "X-Not-Executed: 1\r\n\r\n"));
                    sendForever(out, bytes("sorry".repeat(1_000)));
                    return false;
                });
        String answer = fleet.send(request("/o/x", "r1", ""));
        assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
        assertTrue(sent.get() < MAX_SENT_BYTES, "sent " + sent.get());
    }

    @Test
    public void anEventWithoutEndBreaksTheStream() throws IOException {
        fleet.first.script(
                (request, out, in) -> {
                    out.write(bytes(head(request, 200, true) + WorkerFake.STREAM));
                    sendForever(out, bytes(chunk("data: " + "x".repeat(8_000))));
                    return false;
                });
        String answer = fleet.send(request("/s/x", "r1", ""));
        assertTrue(
                answer.startsWith("HTTP/1.1 50"),
                answer.substring(0, Math.min(80, answer.length())));
        assertTrue(sent.get() < MAX_SENT_BYTES, "sent " + sent.get());
    }

    /** A byte now and then is no sign of life where no event becomes whole. */
    @Test
    public void aStreamThatDripsBytesIsLeftForAnotherServer() throws IOException {
        fleet.first.script(
                (request, out, in) -> {
                    out.write(bytes(head(request, 200, true) + WorkerFake.STREAM));
                    out.write(bytes(chunk("id: 1\ndata: e1\n\n")));
                    fleet.addSecond();
                    while (true) {
                        out.write(bytes(chunk("x")));
                        Thread.sleep(100);
                    }
                });
        fleet.second.script(Script.streaming(2, 3, 1));
        String answer = fleet.send(request("/s/x", "r1", ""));
        assertTrue(answer.contains("data: e3"), answer);
        assertTrue(answer.endsWith("0\r\n\r\n"), answer);
        assertEquals(fleet.second.requests.getFirst().headers().get("last-event-id"), "1");
    }

    /** Events that come slowly, each in several parts, are events all the same. */
    @Test
    public void aSlowStreamIsNotCut() throws IOException {
        fleet.first.script(
                (request, out, in) -> {
                    out.write(bytes(head(request, 200, true) + WorkerFake.STREAM));
                    for (int event = 1; event <= 5; event++) {
                        out.write(bytes(chunk("id: %d\nda".formatted(event))));
                        Thread.sleep(250);
                        out.write(bytes(chunk("ta: e%d\n\n".formatted(event))));
                        Thread.sleep(250);
                    }
                    out.write(bytes("0\r\n\r\n"));
                    return true;
                });
        fleet.addSecond();
        String answer = fleet.send(request("/s/x", "r1", ""));
        assertTrue(answer.contains("data: e5") && answer.endsWith("0\r\n\r\n"), answer);
    }

    /** The second copy of an answer comes when the connection carries the next request. */
    @Test
    public void aSecondCopyWithoutAnIdIsNotTakenForTheNextAnswer() throws IOException {
        String copy = "HTTP/1.1 200 X\r\nX-Response-Signature: s\r\nContent-Length: 3\r\n\r\nold";
        fleet.first.script(
                (request, out, in) -> {
                    boolean again = request.id().equals("r2");
                    out.write(
                            again
                                    ? bytes(copy)
                                    : bytes(
                                            head(request, 200, true)
                                                    + "Content-Length: 3\r\n\r\nold"));
                    return true;
                });
        fleet.send(request("/i/x", "r1", ""));
        String answer = fleet.send(request("/i/x", "r2", ""));
        assertTrue(!answer.contains("old"), answer);
    }
}
