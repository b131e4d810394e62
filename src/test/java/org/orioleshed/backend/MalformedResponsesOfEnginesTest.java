package org.orioleshed.backend;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import org.orioleshed.fleet.TestServers;
import org.orioleshed.host.HostEvent;
import org.orioleshed.http.HttpClients;
import org.orioleshed.http.MalformedResponses;
import org.orioleshed.http.ScriptedServer;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Payload;
import org.orioleshed.model.RequestId;
import org.orioleshed.model.RunId;
import org.orioleshed.routing.RunEnd;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests of the product's own interface to engines and services whose responses are malformed. Such
 * a response is no result, no token of an answer, no confirmed cancellation and no report.
 */
public class MalformedResponsesOfEnginesTest {
    private static final BackendLimits LIMITS =
            new BackendLimits(2_000, 5_000, 5_000, 2_000, 1, 1 << 12, 1 << 16);
    private static final RunId RUN = new RunId(new RequestId(new HostId("h"), 1, 1), 1);
    private static final String STREAM =
            """
            data: {"choices":[{"delta":{"content":"x"}}],"offset":0,"count":1}

            data: [DONE]

            """;

    private final LinkedBlockingQueue<HostEvent> events = new LinkedBlockingQueue<>();
    private ScriptedServer server;
    private Backends backends;

    @BeforeMethod
    public void open() throws IOException {
        HttpClients.allowConnectionField();
        events.clear();
        server = new ScriptedServer();
        backends = new Backends(LIMITS, events::add);
    }

    @AfterMethod
    public void close() throws IOException {
        backends.close();
        server.close();
    }

    private void answer(String template, String body) {
        server.answer(MalformedResponses.fill(template, "", body));
    }

    private RunEnd end() throws InterruptedException {
        return ((HostEvent.RunEnded) events.take()).end();
    }

    /** Guards against the result of a call that a service did not state. */
    @Test(
            dataProvider = "malformed",
            dataProviderClass = MalformedResponses.class,
            timeOut = 10_000)
    public void aMalformedResponseIsNoResult(String template) throws InterruptedException {
        answer(template, "{\"ok\":true}");
        backends.call(RUN, TestServers.at(server.address()), "hold", "k", Payload.of("{}"), 5_000);
        HostEvent.CallEnded ended = (HostEvent.CallEnded) events.take();
        assertTrue(ended.end() instanceof HostEvent.CallEnd.Broken, template + ended);
        assertEquals(server.requests.size(), 1);
    }

    @Test(dataProvider = "sound", dataProviderClass = MalformedResponses.class, timeOut = 10_000)
    public void aSoundResponseIsAResult(String template) throws InterruptedException {
        answer(template, "{\"ok\":true}");
        backends.call(RUN, TestServers.at(server.address()), "hold", "k", Payload.of("{}"), 5_000);
        HostEvent.CallEnded ended = (HostEvent.CallEnded) events.take();
        assertEquals(ended.end(), new HostEvent.CallEnd.Answered(200, Payload.of("{\"ok\":true}")));
    }

    /**
     * Guards against tokens, and errors, that an engine did not state; a stream ends in its body.
     */
    @Test(
            dataProvider = "malformedHeads",
            dataProviderClass = MalformedResponses.class,
            timeOut = 10_000)
    public void aMalformedResponseIsNoStream(String template) throws InterruptedException {
        answer(template, STREAM);
        backends.start(RUN, TestServers.at(server.address()), Payload.of("{}"), 0);
        assertEquals(end(), new RunEnd.Broken(false, false), template);
    }

    /** Guards against a cancellation that nobody confirmed. */
    @Test(
            dataProvider = "malformed",
            dataProviderClass = MalformedResponses.class,
            timeOut = 10_000)
    public void aMalformedResponseConfirmsNoCancellation(String template)
            throws InterruptedException {
        answer(template, "{\"prefillTokens\":7}");
        backends.cancel(RUN, TestServers.at(server.address()));
        assertEquals(end(), new RunEnd.Broken(false, false), template);
    }

    /** Guards against a load that an engine did not report. */
    @Test(
            dataProvider = "malformed",
            dataProviderClass = MalformedResponses.class,
            timeOut = 10_000)
    public void aMalformedResponseIsNoReport(String template) throws InterruptedException {
        answer(template, "{\"running\":1,\"waiting\":2,\"ageMillis\":3}");
        try (ReportPoller poller =
                new ReportPoller(
                        2_000, () -> List.of(TestServers.at(server.address())), events::add)) {
            poller.poll();
            while (server.requests.size() < 2) {
                Thread.sleep(2);
            }
        }
        assertTrue(events.isEmpty(), template + events);
    }
}
