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
import java.util.Map;
import org.orioleshed.http.MalformedResponses;
import org.orioleshed.platform.WorkerFake.Request;
import org.orioleshed.platform.WorkerFake.Script;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of malformed responses wherever a host reads responses to requests: of servers, late ones,
 * those that resume a stream, and those of other hosts.
 */
public class ResponseReadersTest {
    private static final long TIMEOUT_MILLIS = 2_000;
    private static final String BODY = "id: 3\ndata: FAULT\n\n";

    private static String fields(String id) {
        return "X-Request-Id: %s\r\nX-Response-Signature: s\r\n".formatted(id)
                + "Content-Type: text/event-stream\r\n";
    }

    private static String filled(String template, Request request) {
        return MalformedResponses.fill(template, fields(request.id()), BODY);
    }

    private static String read(Socket socket, String request) throws IOException {
        try (socket) {
            return WorkerFake.exchange(socket, request);
        }
    }

    private static String status(String response) {
        return response.length() < 12 ? "" : response.substring(9, 12);
    }

    @Test(dataProvider = "malformed", dataProviderClass = MalformedResponses.class)
    public void ofAServer(String template) throws IOException {
        try (Fleet fleet = new Fleet(TIMEOUT_MILLIS, 100_000)) {
            fleet.first.script(
                    (request, out, in) -> {
                        out.write(bytes(filled(template, request)));
                        return true;
                    });
            String response = read(fleet.connect(), request("/o/x", "r", ""));
            assertEquals(status(response), "502", response);
        }
    }

    /**
     * A late response to an earlier request is skipped; behind a malformed one nothing is known.
     */
    @Test(dataProvider = "malformed", dataProviderClass = MalformedResponses.class)
    public void lateOne(String template) throws IOException {
        try (Fleet fleet = new Fleet(TIMEOUT_MILLIS, 100_000)) {
            fleet.first.script(
                    (request, out, in) -> {
                        if (!request.id().equals("early")) {
                            out.write(
                                    bytes(
                                            MalformedResponses.fill(
                                                    template, fields("early"), BODY)));
                        }
                        out.write(bytes(head(request, 200, true) + length("ok") + "ok"));
                        return true;
                    });
            assertEquals(status(fleet.send(request("/i/x", "early", ""))), "200");
            String response = read(fleet.connect(), request("/o/x", "r", ""));
            assertEquals(status(response), "502", response);
        }
    }

    /** The stream's rest is taken from no malformed response, and its end is withheld. */
    @Test(dataProvider = "malformedHeads", dataProviderClass = MalformedResponses.class)
    public void thatResumesAStream(String template) throws IOException {
        try (Fleet fleet =
                Fleet.withRegions(Fleet.CONFIG.formatted(TIMEOUT_MILLIS, 100_000), Map.of())) {
            fleet.addSecond();
            Script breaking =
                    (request, out, in) -> {
                        if (request.headers().containsKey("last-event-id")) {
                            out.write(bytes(filled(template, request)));
                            return true;
                        }
                        out.write(bytes(head(request, 200, true) + WorkerFake.STREAM));
                        out.write(bytes(chunk("id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n")));
                        out.flush();
                        throw new WorkerFake.ResetException();
                    };
            fleet.first.script(breaking);
            fleet.second.script(breaking);
            String response = read(fleet.connect(), request("/s/x", "r", ""));
            assertTrue(response.contains("data: e2"), response);
            assertFalse(response.contains("FAULT") || response.endsWith("0\r\n\r\n"), response);
            assertTrue(fleet.first.requests.size() + fleet.second.requests.size() > 1, response);
        }
    }

    @DataProvider
    Object[][] changes() {
        return new Object[][] {
            {"HTTP/1.1 200", "HTTP/1.1 000"},
            {"HTTP/1.1 200", "HTTP/1.1 0200"},
            {"HTTP/1.1 200", "HTTP/2.0 200"},
            {"\r\n", "\r\nA B: v\r\n"},
            {"\r\n", "\r\nno colon\r\n"},
            {"content-length:", "content-length :"},
            {"content-length:", "transfer-encoding: xchunked\r\ncontent-length:"},
        };
    }

    /** Guards against a host that believes another one, or a path that changes what it sends. */
    @Test(dataProvider = "changes")
    public void ofAnotherHost(String part, String changed) throws IOException {
        try (RelayFleet fleet = new RelayFleet(2, TIMEOUT_MILLIS, 10_000_000)) {
            RelayFleet.Host cutOff = fleet.hosts.getFirst();
            fleet.set(RelayFleet.SERVERS, ServerPath.Fault.REFUSED);
            Fleet.await(
                    () -> {
                        String probe = cutOff.send(request("/i/x", "probe", ""));
                        return status(probe).equals("200")
                                && cutOff.counter("requests_forwarded") > 0;
                    });
            fleet.relayPaths.forEach(path -> path.change(text -> change(text, part, changed)));
            String response = read(cutOff.connect(), request("/o/x", "r", ""));
            assertEquals(status(response), "502", response + cutOff.log());
            assertEquals(fleet.received("r"), 1);
        }
    }

    /** Changes the first occurrence in the head of a response. */
    private static String change(String text, String part, String changed) {
        int at = text.indexOf(part);
        return text.startsWith("HTTP/1.1 ") && at >= 0
                ? text.substring(0, at) + changed + text.substring(at + part.length())
                : text;
    }
}
