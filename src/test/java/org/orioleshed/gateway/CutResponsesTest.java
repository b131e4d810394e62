package org.orioleshed.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.dispatch.RunKey;
import org.orioleshed.dispatch.RunReport;
import org.orioleshed.dispatch.StatedLimit;
import org.orioleshed.http.BodyEnd;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Payload;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.ServiceId;
import org.orioleshed.model.VersionId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Generated tests of a server's response that is cut off after any byte of its body, in any
 * framing. One that was broken off must not end as a complete one.
 */
public class CutResponsesTest {
    private static final InetSocketAddress ADDRESS = new InetSocketAddress("10.0.0.1", 1);
    private static final String EVENTS = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final String STREAM = "Content-Type: text/event-stream\r\n";

    /** What a listener was told last. */
    private enum End {
        NONE,
        COMPLETE,
        BROKEN
    }

    /** How the connection ends after the last byte. */
    private enum Cut {
        CLOSED,
        RESET
    }

    private static String encode(BodyEnd framing, String fields, String body) {
        return switch (framing) {
            case LENGTH -> fields + "Content-Length: " + body.length() + "\r\n\r\n" + body;
            case LAST_CHUNK ->
                    fields
                            + "Transfer-Encoding: chunked\r\n\r\n"
                            + Integer.toHexString(body.length())
                            + "\r\n"
                            + body
                            + "\r\n"
                            + LAST_CHUNK;
            default -> fields + "\r\n" + body;
        };
    }

    private static final BodyEnd[] FRAMINGS = {
        BodyEnd.LENGTH, BodyEnd.LAST_CHUNK, BodyEnd.CONNECTION
    };

    @DataProvider
    Object[][] streams() {
        List<Object[]> rows = new ArrayList<>();
        for (BodyEnd framing : FRAMINGS) {
            for (Cut cut : Cut.values()) {
                for (String body : bodies()) {
                    rows.add(new Object[] {framing, cut, body});
                }
            }
        }
        return rows.toArray(Object[][]::new);
    }

    private static List<String> bodies() {
        return List.of(
                EVENTS,
                EVENTS.replace("\n", "\r\n"),
                "data: e1\n\ndata: e2\n\n",
                ":ok\n\n" + EVENTS,
                ":ok\r\n\r\n:ok\r\n\r\n" + EVENTS.replace("\n", "\r\n"),
                "\n" + EVENTS,
                "\r\n\r\n" + EVENTS,
                "retry: 500\n\n:a\n:b\n\n" + EVENTS,
                "retry\r\n\r\n" + EVENTS,
                "id: 1\ndata: e1\n\n:busy\n\nid: 2\ndata: e2\n\n",
                "x-weight-versions: 7\nid: 1\ndata: e1\n\n");
    }

    /** Guards against the beginning of a stream that ends as if it were the whole. */
    @Test(dataProvider = "streams")
    public void aStreamCutAnywhereIsBrokenOff(BodyEnd framing, Cut cut, String body) {
        String wire = encode(framing, STREAM, body);
        for (int bytes = wire.length() - body.length(); bytes < wire.length(); bytes++) {
            checkStream(framing, cut, wire.substring(0, bytes), new EventFramer(), "e1");
        }
    }

    /** Guards against a resumed stream that ends before its server has gone on with it. */
    @Test(dataProvider = "streams")
    public void aResumedStreamCutAnywhereIsBrokenOff(BodyEnd framing, Cut cut, String body) {
        String rest = body.replace(": 1", ": 3").replace(": 2", ": 4");
        String wire = encode(framing, STREAM, rest);
        for (int bytes = wire.length() - rest.length(); bytes < wire.length(); bytes++) {
            checkStream(framing, cut, wire.substring(0, bytes), begunStream(), "id: 3");
        }
    }

    private static EventFramer begunStream() {
        EventFramer framer = new EventFramer();
        framer.feed(Unpooled.copiedBuffer(EVENTS, StandardCharsets.UTF_8));
        return framer;
    }

    private static void checkStream(
            BodyEnd framing, Cut cut, String sent, EventFramer framer, String firstEvent) {
        Run run = new Run(true, framer);
        run.receive(sent, cut);
        String body = sent.substring(sent.indexOf("\r\n\r\n") + 4).replace("\r\n", "\n");
        boolean betweenEvents = body.endsWith("\n\n") && body.contains(firstEvent);
        boolean mayBeWhole = framing == BodyEnd.CONNECTION && cut == Cut.CLOSED && betweenEvents;
        assertEquals(run.end, mayBeWhole ? End.COMPLETE : End.BROKEN, sent);
        assertEquals(run.attempt.bodyEnd(), framing, sent);
    }

    @DataProvider
    Object[][] answers() {
        List<Object[]> rows = new ArrayList<>();
        for (BodyEnd framing : FRAMINGS) {
            for (Cut cut : Cut.values()) {
                rows.add(new Object[] {framing, cut, "{\"a\": [1, 2]}"});
            }
        }
        return rows.toArray(Object[][]::new);
    }

    /** Guards against the beginning of an answer that ends as if it were the whole. */
    @Test(dataProvider = "answers")
    public void anAnswerCutAnywhereIsBrokenOff(BodyEnd framing, Cut cut, String body) {
        String wire = encode(framing, "", body);
        for (int bytes = wire.indexOf("\r\n\r\n") + 4; bytes < wire.length(); bytes++) {
            Run run = new Run(false, new EventFramer());
            run.receive(wire.substring(0, bytes), cut);
            boolean hasBody = bytes > wire.length() - body.length();
            boolean mayBeWhole = framing == BodyEnd.CONNECTION && cut == Cut.CLOSED && hasBody;
            assertEquals(run.end, mayBeWhole ? End.COMPLETE : End.BROKEN, wire.substring(0, bytes));
        }
    }

    /** Guards the sound streams: all of their bytes are passed on, for any split into parts. */
    @Test(dataProvider = "streams")
    public void aWholeStreamIsPassedOnWhole(BodyEnd framing, Cut cut, String body) {
        for (int partBytes : new int[] {1, 7, 1_000}) {
            Run run = new Run(true, new EventFramer());
            run.receive(encode(framing, STREAM, body), Cut.CLOSED, partBytes);
            assertEquals(run.end, End.COMPLETE);
            assertEquals(run.received.toString(), body);
        }
    }

    @DataProvider
    Object[][] streamsWithoutEvents() {
        return new Object[][] {{""}, {":ok\n\n"}, {"\r\n"}, {"retry: 5\n\n:a\n\n"}};
    }

    /** A stream that states its end may be whole without an event. */
    @Test(dataProvider = "streamsWithoutEvents")
    public void aStreamWithoutEventsIsWholeIfItsEndIsStated(String body) {
        for (BodyEnd framing : FRAMINGS) {
            Run run = new Run(true, new EventFramer());
            String wire =
                    framing == BodyEnd.LAST_CHUNK && body.isEmpty()
                            ? STREAM + "Transfer-Encoding: chunked\r\n\r\n" + LAST_CHUNK
                            : encode(framing, STREAM, body);
            run.receive(wire, Cut.CLOSED);
            assertEquals(run.end, framing.isStated() ? End.COMPLETE : End.BROKEN);
            assertEquals(run.received.toString(), framing.isStated() ? body : "");
        }
    }

    /** Guards against a server that is held for silent although it sends comments. */
    @Test
    public void aCommentIsASignOfLife() {
        Run run = new Run(true, new EventFramer());
        long beforeNanos = System.nanoTime();
        run.send("HTTP/1.1 200 OK\r\n" + STREAM + "\r\n:ok\n\n", 1_000);
        assertTrue(run.attempt.silentMillis(beforeNanos) <= 0);
        assertFalse(run.attempt.hasEvents());
    }

    /** One run of a request, and what its listener was told. */
    private static final class Run implements ServerAttempt.Listener {
        private final StringBuilder received = new StringBuilder();
        private final ServerAttempt attempt;
        private final EmbeddedChannel channel;
        private End end = End.NONE;

        Run(boolean stream, EventFramer framer) {
            attempt =
                    new ServerAttempt(
                            new RunKey(new HostId("h"), 1),
                            server(),
                            stream,
                            framer,
                            this,
                            new ResponseBudget<>(),
                            System.nanoTime());
            ResponseHeadLimit limit = new ResponseHeadLimit();
            HeaderTranslator translator = translator();
            ServerConnection connection =
                    new ServerConnection(
                            new ServerConnectionPool(
                                    new Bootstrap(), translator, ADDRESS, () -> false),
                            translator,
                            limit);
            channel =
                    new EmbeddedChannel(
                            limit, connection.decoder(), new HttpRequestEncoder(), connection);
            connection.send(
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/x"),
                    "r",
                    attempt);
        }

        private static PoolServer server() {
            return new PoolServer(
                    new ServerId("s"),
                    new ServiceId("pool"),
                    ADDRESS,
                    new FailureDomain("d"),
                    new VersionId("v"),
                    1,
                    false,
                    0);
        }

        /** Returns a translator that reads each response as a signed one. */
        private static HeaderTranslator translator() {
            ResponseHeaders signed =
                    new ResponseHeaders("r", true, false, -1, false, 0, StatedLimit.NONE);
            return (HeaderTranslator)
                    Proxy.newProxyInstance(
                            HeaderTranslator.class.getClassLoader(),
                            new Class<?>[] {HeaderTranslator.class},
                            (proxy, method, arguments) ->
                                    method.getName().equals("readResponse")
                                            ? signed
                                            : (Object) false);
        }

        void receive(String response, Cut cut) {
            receive(response, cut, response.length() + 1);
        }

        void receive(String response, Cut cut, int partBytes) {
            send("HTTP/1.1 200 OK\r\n" + response, partBytes);
            if (cut == Cut.RESET) {
                channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
            }
            var unused = channel.finishAndReleaseAll();
        }

        void send(String text, int partBytes) {
            for (int i = 0; i < text.length(); i += partBytes) {
                String part = text.substring(i, Math.min(text.length(), i + partBytes));
                channel.writeInbound(Unpooled.copiedBuffer(part, StandardCharsets.UTF_8));
            }
        }

        @Override
        public void events(ServerAttempt source, HttpResponse head, byte[] events) {
            received.append(new String(events, StandardCharsets.UTF_8));
        }

        @Override
        public void noticed(ServerAttempt source, ResponseHeaders responseHeaders) {}

        @Override
        public boolean confirmSend(ServerAttempt source) {
            return true;
        }

        @Override
        public void streamEnded(ServerAttempt source, HttpResponse head) {
            end = End.COMPLETE;
        }

        @Override
        public void answered(
                ServerAttempt source,
                HttpResponse head,
                ResponseHeaders responseHeaders,
                Payload body) {
            end = End.COMPLETE;
        }

        @Override
        public void notRun(ServerAttempt source, RunReport.Outcome outcome, String detail) {
            end = End.BROKEN;
        }

        @Override
        public void broken(ServerAttempt source, RunReport.Outcome outcome, String detail) {
            end = End.BROKEN;
        }
    }
}
