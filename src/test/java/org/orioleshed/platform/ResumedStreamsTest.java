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
import java.io.OutputStream;
import java.util.Map;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import org.orioleshed.platform.WorkerFake.Script;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of streams that break off at one server and go on at another. Whatever the other server
 * sends, the caller gets each event once, and a stream that is not complete does not look complete.
 */
public class ResumedStreamsTest {
    private static final int TIMEOUT_MILLIS = 2_500;
    private static final int EVENTS = 4;
    private static final int EVENTS_BEFORE_BREAK = 2;

    /** Longer than the silence after which a host looks for another server. */
    private static final int SILENCE_MILLIS = 1_500;

    /** Stands in everything that must not reach a caller. */
    private static final String FAULT = "FAULT";

    private static final String OTHER_HEAD =
            "HTTP/1.1 500 FAULT\r\nX-Request-Id: FAULT\r\nContent-Length: 5\r\n\r\nFAULT";
    private static final String HTML =
            "<html>\n<h1>FAULT</h1>\n\n<p>FAULT</p>\n\n<p>FAULT</p>\n\n</html>\n\n";
    private static final String JSON = "{\"error\":\"FAULT\",\n\n\"detail\":\"FAULT\"}\n\n";
    private static final Pattern CHUNK_SIZE = Pattern.compile("(?m)^[0-9a-f]+\r\n");

    private Fleet fleet;
    private WorkerFake third;

    /** Ends the stream of the first server in the middle. */
    private interface Break {
        boolean play(OutputStream out) throws IOException, InterruptedException;
    }

    @BeforeMethod
    public void open() throws IOException {
        third = new WorkerFake();
        third.script(resuming(""));
        fleet =
                Fleet.withRegions(
                        Fleet.CONFIG
                                .formatted(TIMEOUT_MILLIS, 100_000)
                                .replaceFirst("\"attempts\":2", "\"attempts\":3"),
                        Map.of());
    }

    @AfterMethod
    public void close() throws IOException {
        fleet.close();
        third.close();
    }

    private static String event(int id) {
        return "id: %1$d\ndata: e%1$d\n\n".formatted(id);
    }

    /** Returns an event whose content must not reach a caller. */
    private static String fault(int id) {
        return "id: %d\ndata: %s\n\n".formatted(id, FAULT);
    }

    /** Goes on after the last event that the caller got; each event begins with a first line. */
    private static Script resuming(String firstLine) {
        return (request, out, in) -> {
            int last = Integer.parseInt(request.headers().getOrDefault("last-event-id", "0"));
            out.write(bytes(head(request, 200, true) + WorkerFake.STREAM));
            for (int i = last + 1; i <= EVENTS; i++) {
                out.write(bytes(chunk(firstLine + event(i))));
            }
            out.write(bytes("0\r\n\r\n"));
            return true;
        };
    }

    /** Sends events and breaks off. */
    private static Script breaking(Break end) {
        return (request, out, in) -> {
            out.write(bytes(head(request, 200, true) + WorkerFake.STREAM));
            for (int i = 1; i <= EVENTS_BEFORE_BREAK; i++) {
                out.write(bytes(chunk(event(i))));
            }
            out.flush();
            return end.play(out);
        };
    }

    private static boolean closeInsideEvent(OutputStream out) throws IOException {
        out.write(bytes(chunk("id: 3\nda")));
        return false;
    }

    private static Script answering(int status, boolean signed, String fields, String body) {
        return (request, out, in) -> {
            out.write(bytes(head(request, status, signed) + fields + length(body) + body));
            return true;
        };
    }

    private static Script whole(int status, String type, String body) {
        return answering(status, true, "Content-Type: " + type + "\r\n", body);
    }

    private static Script stream(boolean signed, String... chunks) {
        return (request, out, in) -> {
            out.write(bytes(head(request, 200, signed) + WorkerFake.STREAM));
            for (String chunk : chunks) {
                out.write(bytes(chunk(chunk)));
            }
            out.write(bytes("0\r\n\r\n"));
            return true;
        };
    }

    private static Script unframed(String fields, String body) {
        return (request, out, in) -> {
            out.write(bytes(head(request, 200, true) + fields + "\r\n" + body));
            return false;
        };
    }

    private static Script sending(String raw) {
        return (request, out, in) -> {
            out.write(bytes(raw));
            return false;
        };
    }

    private void add(String id, WorkerFake server) {
        fleet.store.put("servers/" + id, server.entry("pool", 8));
        Fleet.await(() -> fleet.log().contains("server=" + id));
    }

    /** Sends a stream's request; the second server is added once the first one has broken off. */
    private String send(Break end, Script answer, boolean withThird) throws IOException {
        fleet.first.script(
                breaking(
                        out -> {
                            out.flush();
                            fleet.addSecond();
                            return end.play(out);
                        }));
        fleet.second.script(
                (request, out, in) -> {
                    if (withThird) {
                        add("i-3", third);
                    }
                    return answer.play(request, out, in);
                });
        try (var socket = fleet.connect()) {
            return WorkerFake.exchange(socket, request("/s/x", "r1", ""));
        }
    }

    private static boolean isComplete(String response) {
        return response.endsWith("0\r\n\r\n");
    }

    private static String events(int last) {
        StringBuilder events = new StringBuilder();
        IntStream.rangeClosed(1, last).forEach(id -> events.append(event(id)));
        return events.toString();
    }

    /** Returns the body of a response as far as it was received. */
    private static String body(String response) {
        int start = response.indexOf("\r\n\r\n") + 4;
        return CHUNK_SIZE.matcher(response.substring(start)).replaceAll("").replace("\r\n", "");
    }

    private void assertWhole(String response) {
        assertTrue(isComplete(response), response + fleet.log());
        assertEquals(body(response), events(EVENTS), response + fleet.log());
    }

    /** Checks a stream that could not be completed: no event is missing and it has no end. */
    private void assertBrokenOff(String response) {
        assertFalse(isComplete(response), response + fleet.log());
        assertFalse(response.contains(FAULT), response + fleet.log());
        assertTrue(events(EVENTS).startsWith(body(response)), response + fleet.log());
        assertTrue(body(response).startsWith(events(EVENTS_BEFORE_BREAK)), response + fleet.log());
    }

    private void assertFinishedElsewhere(Break end, Script answer) throws IOException {
        String response = send(end, answer, true);
        assertFalse(response.contains(FAULT), response + fleet.log());
        assertWhole(response);
        assertEquals(third.requests.size(), 1, fleet.log());
    }

    @DataProvider
    Object[][] breaks() {
        Break reset =
                out -> {
                    throw new WorkerFake.ResetException();
                };
        Break closeInsideEvent = ResumedStreamsTest::closeInsideEvent;
        Break closeBetweenEvents = out -> false;
        Break silence =
                out -> {
                    Thread.sleep(60_000);
                    return false;
                };
        return new Object[][] {
            {"reset", reset},
            {"close inside an event", closeInsideEvent},
            {"close between events", closeBetweenEvents},
            {"silence", silence},
        };
    }

    @Test(dataProvider = "breaks")
    public void aStreamGoesOnAtAnotherServer(String name, Break end) throws IOException {
        assertWhole(send(end, resuming(""), false));
    }

    @Test(dataProvider = "breaks")
    public void aStreamGoesOnAtAThirdServer(String name, Break end) throws IOException {
        assertFinishedElsewhere(end, answering(500, true, "", FAULT));
    }

    @DataProvider
    Object[][] failures() {
        String notRun = "X-Not-Executed: 1\r\n";
        return new Object[][] {
            {"500 signed", answering(500, true, "", FAULT)},
            {"500 unsigned", answering(500, false, "", FAULT)},
            {"404 signed", answering(404, true, "", FAULT)},
            {"404 unsigned", answering(404, false, "", FAULT)},
            {"400 signed", answering(400, true, "", FAULT)},
            {"400 not run", answering(400, false, notRun, FAULT)},
            {"429 signed", answering(429, true, "", FAULT)},
            {"429 not run", answering(429, false, notRun, FAULT)},
            {"503 signed", answering(503, true, "", FAULT)},
            {"503 unsigned", answering(503, false, "", FAULT)},
            {"503 signed, not run", answering(503, true, notRun, FAULT)},
            {"503 not run", answering(503, false, notRun, FAULT)},
            {"500 with events", whole(500, "text/event-stream", fault(3) + fault(4))},
            {"302", answering(302, true, "Location: /FAULT\r\n", "")},
            {"cut head", sending("HTTP/1.1 200 FAULT\r\nX-Request-Id: r1\r\nX-Resp")},
            {"no answer", sending("FAULT\n\nFAULT\n\n")},
            {"200 unsigned", answering(200, false, "", FAULT)},
            {"200 unsigned with events", stream(false, fault(3), fault(4))},
        };
    }

    @DataProvider
    Object[][] otherBodies() {
        return new Object[][] {
            {
                "204",
                sending("HTTP/1.1 204 X\r\nX-Request-Id: r1\r\nX-Response-Signature: s\r\n\r\n")
            },
            {"206", whole(206, "text/event-stream", fault(3) + fault(4))},
            {"202", whole(202, "text/event-stream", fault(3) + fault(4))},
            {"HTML", whole(200, "text/html", HTML)},
            {"JSON", whole(200, "application/json", JSON)},
            {"JSON after events", whole(200, "application/json", fault(3) + JSON)},
            {"encoded", answering(200, true, "Content-Encoding: gzip\r\n", fault(3) + fault(4))},
        };
    }

    @DataProvider
    Object[][] emptyStreams() {
        String type = "Content-Type: text/event-stream\r\n";
        return new Object[][] {
            {"length 0", answering(200, true, "", "")},
            {"length 0 with type", answering(200, true, type, "")},
            {"chunked", stream(true)},
            {"unframed", unframed(type, "")},
        };
    }

    @DataProvider
    Object[][] otherEvents() {
        return new Object[][] {
            {"begins anew", stream(true, fault(1), fault(2), fault(3), fault(4))},
            {"begins anew in one part", stream(true, fault(1) + fault(2) + fault(3) + fault(4))},
            {"repeats the last event", stream(true, fault(2), fault(3), fault(4))},
            {"skips an event", stream(true, fault(4))},
            {"repeats an event of its own", stream(true, event(3), fault(3), fault(4))},
            {"skips an event of its own", stream(true, event(3), fault(5))},
            {"goes back", stream(true, event(3) + fault(1) + fault(4))},
            {"ids that are no numbers", stream(true, "id: a\ndata: FAULT\n\n")},
        };
    }

    @DataProvider
    Object[][] noEvents() {
        String type = "Content-Type: text/event-stream\r\n";
        return new Object[][] {
            {"events without ids", stream(true, "data: FAULT\n\n", "data: FAULT\n\n")},
            {"an error event", stream(true, "event: error\ndata: FAULT\n\n")},
            {"a head as text", stream(true, OTHER_HEAD + "\n\n")},
            {"a head as text, no type", answering(200, true, "", OTHER_HEAD + "\n\n")},
            {"HTML", stream(true, HTML)},
            {"HTML without type", answering(200, true, "", HTML)},
            {"JSON", stream(true, JSON)},
            {"a head after an event", stream(true, event(3) + OTHER_HEAD)},
            {"unframed, a head after an event", unframed(type, event(3) + OTHER_HEAD + "\n\n")},
            {"HTML after an event", stream(true, event(3), HTML)},
            {"JSON after an event", stream(true, event(3), JSON)},
        };
    }

    /** Guards against a failure's text in the middle of a stream. */
    @Test(dataProvider = "failures")
    public void aFailureIsNoPartOfAStream(String name, Script answer) throws IOException {
        assertFinishedElsewhere(ResumedStreamsTest::closeInsideEvent, answer);
    }

    @Test(dataProvider = "failures")
    public void aStreamWhoseResumptionFailsIsBrokenOff(String name, Script answer)
            throws IOException {
        assertBrokenOff(send(ResumedStreamsTest::closeInsideEvent, answer, false));
    }

    /** Guards against the body of a success that is no event stream in the middle of a stream. */
    @Test(dataProvider = "otherBodies")
    public void aBodyThatIsNoEventStreamIsNoPartOfAStream(String name, Script answer)
            throws IOException {
        assertFinishedElsewhere(ResumedStreamsTest::closeInsideEvent, answer);
    }

    @Test(dataProvider = "otherBodies")
    public void aStreamThatGoesOnAsAnotherBodyIsBrokenOff(String name, Script answer)
            throws IOException {
        assertBrokenOff(send(ResumedStreamsTest::closeInsideEvent, answer, false));
    }

    /** Guards against a stream that is ended as complete by a server that added nothing to it. */
    @Test(dataProvider = "emptyStreams")
    public void anEmptyAnswerDoesNotCompleteAStream(String name, Script answer) throws IOException {
        assertFinishedElsewhere(ResumedStreamsTest::closeInsideEvent, answer);
    }

    @Test(dataProvider = "emptyStreams")
    public void aStreamThatGoesOnAsAnEmptyAnswerIsBrokenOff(String name, Script answer)
            throws IOException {
        assertBrokenOff(send(ResumedStreamsTest::closeInsideEvent, answer, false));
    }

    /** Guards against events that come twice or are missing. */
    @Test(dataProvider = "otherEvents")
    public void eventsThatDontFollowTheLastOneAreNoPartOfAStream(String name, Script answer)
            throws IOException {
        assertFinishedElsewhere(ResumedStreamsTest::closeInsideEvent, answer);
    }

    @Test(dataProvider = "otherEvents")
    public void aStreamThatGoesOnWithOtherEventsIsBrokenOff(String name, Script answer)
            throws IOException {
        assertBrokenOff(send(ResumedStreamsTest::closeInsideEvent, answer, false));
    }

    /** Guards against the text of an error, or a whole head, between the events of a stream. */
    @Test(dataProvider = "noEvents")
    public void linesThatAreNoEventsAreNoPartOfAStream(String name, Script answer)
            throws IOException {
        assertFinishedElsewhere(ResumedStreamsTest::closeInsideEvent, answer);
    }

    @Test(dataProvider = "noEvents")
    public void aStreamThatGoesOnWithLinesThatAreNoEventsIsBrokenOff(String name, Script answer)
            throws IOException {
        assertBrokenOff(send(ResumedStreamsTest::closeInsideEvent, answer, false));
    }

    /** Guards against a silent server that is left for one that sends another stream. */
    @Test
    public void aSilentServerIsKeptIfAnotherOneSendsOtherEvents() throws IOException {
        Break pause =
                out -> {
                    Thread.sleep(SILENCE_MILLIS);
                    out.write(bytes(chunk(event(3) + event(4)) + "0\r\n\r\n"));
                    return true;
                };
        assertWhole(send(pause, stream(true, fault(1), fault(2), fault(3)), false));
        assertEquals(fleet.second.requests.size(), 1, fleet.log());
    }

    @Test
    public void aSecondAnswerBehindTheEventsBelongsToNoRequest() throws IOException {
        Script answer =
                (request, out, in) -> {
                    boolean open = resuming("").play(request, out, in);
                    out.write(bytes(OTHER_HEAD));
                    return open;
                };
        assertWhole(send(ResumedStreamsTest::closeInsideEvent, answer, false));
    }

    @DataProvider
    Object[][] soundEvents() {
        return new Object[][] {
            {resuming("x-weight-versions: 3\n"), "x-weight-versions: 3\n" + event(3)},
            {resuming(": pause\n\n"), ": pause\n\n" + event(3)},
            {resuming("event: token\n"), "event: token\n" + event(3)},
            {stream(true, event(3) + "data: none\n\n" + event(4)), event(3) + "data: none\n\n"},
            {
                whole(200, "Text/Event-Stream; charset=utf-8", event(3) + event(4)),
                event(3) + event(4)
            },
        };
    }

    @Test(dataProvider = "soundEvents")
    public void soundEventsOfAnotherServerArePassedOn(Script answer, String part)
            throws IOException {
        String response = send(ResumedStreamsTest::closeInsideEvent, answer, false);
        assertTrue(isComplete(response), response + fleet.log());
        assertTrue(body(response).startsWith(events(2) + part), response + fleet.log());
        assertTrue(body(response).endsWith(event(4)), response + fleet.log());
    }

    @DataProvider
    Object[][] unstatedEnds() {
        return new Object[][] {{3, EVENTS}, {3, 3}};
    }

    /** Guards against a resumed stream that its second server cut off and that looks complete. */
    @Test(dataProvider = "unstatedEnds")
    public void anEndThatTheSecondServerDidNotStateIsConfirmed(int first, int last)
            throws IOException {
        Script answer = unframed("", events(last).substring(events(first - 1).length()));
        assertWhole(send(ResumedStreamsTest::closeInsideEvent, answer, true));
        assertEquals(third.requests.size(), 1, fleet.log());
        assertEquals(
                third.requests.getFirst().headers().get("last-event-id"), Integer.toString(last));
    }

    @Test(dataProvider = "unstatedEnds")
    public void anEndThatNoServerStatedIsNotStated(int first, int last) throws IOException {
        third.script(unframed("", ""));
        Script answer = unframed("", events(last).substring(events(first - 1).length()));
        for (boolean withThird : new boolean[] {false, true}) {
            String response = send(ResumedStreamsTest::closeInsideEvent, answer, withThird);
            assertFalse(isComplete(response), response + fleet.log());
            assertEquals(body(response), events(last), response + fleet.log());
            close();
            open();
            third.script(unframed("", ""));
        }
    }

    /** Guards against a first run without a stated end whose second run states one. */
    @Test
    public void aStreamThatBeganWithoutAStatedEndIsResumedWithoutOne() throws IOException {
        fleet.first.script(
                (request, out, in) -> {
                    fleet.addSecond();
                    return unframed("", events(2) + "id: 3\nda").play(request, out, in);
                });
        fleet.second.script(resuming(""));
        try (var socket = fleet.connect()) {
            String response = WorkerFake.exchange(socket, request("/s/x", "r1", ""));
            UnframedAnswersTest.checkUnstated(response, 200, events(EVENTS));
        }
    }

    @DataProvider
    Object[][] firstAnswers() {
        return new Object[][] {
            {200, "application/json", "{\"a\":1}"},
            {200, "application/json", "{\"a\":1,\n\n\"b\":2}"},
            {200, "text/html", HTML},
            {404, "text/event-stream", event(1)},
        };
    }

    /** Guards against a whole answer that is taken for a stream which breaks off. */
    @Test(dataProvider = "firstAnswers")
    public void aSignedAnswerThatIsNoStreamIsPassedOnWhole(int status, String type, String body)
            throws IOException {
        fleet.first.script(whole(status, type, body));
        try (var socket = fleet.connect()) {
            String response = WorkerFake.exchange(socket, request("/s/x", "r1", ""));
            assertTrue(response.startsWith("HTTP/1.1 " + status), response);
            assertFalse(response.contains("chunked"), response);
            assertTrue(response.endsWith("\r\n\r\n" + body), response);
        }
        assertEquals(fleet.first.requests.size(), 1);
    }
}
