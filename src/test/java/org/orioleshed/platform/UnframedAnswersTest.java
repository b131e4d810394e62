package org.orioleshed.platform;

import static org.orioleshed.platform.Fleet.request;
import static org.orioleshed.platform.WorkerFake.bytes;
import static org.orioleshed.platform.WorkerFake.head;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.Locale;
import org.orioleshed.platform.WorkerFake.Script;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of answers with neither a length nor chunks, which end with their connection. One that was
 * broken off must not reach its caller as if it were complete.
 */
public class UnframedAnswersTest {
    private static final String EVENT = "id: 1\ndata: e1\n\n";

    /** Each answer ends within this time, which is longer than its route waits. */
    private static final int END_TIMEOUT_MILLIS = 10_000;

    private Fleet fleet;

    @BeforeMethod
    public void open() throws IOException {
        fleet = new Fleet(5_000, 100_000);
    }

    @AfterMethod
    public void close() throws IOException {
        fleet.close();
    }

    /** Answers a request named "warm" so that its connection is kept, and all others as told. */
    static Script unframed(int status, boolean signed, String body, boolean reset) {
        return (request, out, in) -> {
            if (request.id().equals("warm")) {
                return Script.answering(200, "ok").play(request, out, in);
            }
            out.write(bytes(head(request, status, signed) + "\r\n" + body));
            out.flush();
            if (reset) {
                throw new WorkerFake.ResetException();
            }
            return false;
        };
    }

    @DataProvider
    Object[][] broken() {
        return new Object[][] {
            {"/s/x", true, "", false},
            {"/s/x", true, "", true},
            {"/s/x", true, EVENT, true},
            {"/s/x", true, EVENT + "i", false},
            {"/s/x", true, "\n", false},
            {"/s/x", true, "\r\n", false},
            {"/s/x", true, ":ok\n\n", false},
            {"/s/x", true, ":ok\r\n\r\n:ok\r\n\r\n", false},
            {"/s/x", true, "retry: 500\n\n", false},
            {"/s/x", true, EVENT, false},
            {"/s/x", true, EVENT + ":ok\n\n", false},
            {"/o/x", true, "part", false},
            {"/s/x", true, "id: 1\ndata: e1\n", false},
            {"/s/x", false, EVENT, false},
            {"/o/x", true, "", false},
            {"/o/x", true, "part", true},
            {"/o/x", false, "whole", false},
        };
    }

    /** Guards against a caller that gets the beginning of an answer as the whole. */
    @Test(dataProvider = "broken")
    public void aBrokenOffAnswerDoesNotLookComplete(
            String path, boolean signed, String body, boolean reset) throws IOException {
        fleet.first.script(unframed(200, signed, body, reset));
        for (boolean reused : new boolean[] {false, true}) {
            if (reused) {
                assertEquals(status(fleet.send(request("/i/x", "warm", ""))), "200");
            }
            String response = send(request(path, "r" + reused, ""));
            boolean complete =
                    response.endsWith("0\r\n\r\n")
                            || response.toLowerCase(Locale.ROOT).contains("content-length");
            assertFalse(status(response).equals("200") && complete, response);
        }
    }

    @DataProvider
    Object[][] whole() {
        return new Object[][] {
            {"/s/x", 200, EVENT},
            {"/s/x", 200, ":ok\n\n" + EVENT},
            {"/s/x", 200, EVENT + ":bye\n\n"},
            {"/o/x", 200, "whole"},
            {"/o/x", 404, "missing"},
            {"/o/x", 500, "failed"},
        };
    }

    /**
     * Guards against a promise that the server did not make: the caller of a whole answer learns of
     * its end just as this host did.
     */
    @Test(dataProvider = "whole")
    public void aCompleteAnswerIsPassedOnWithoutAStatedEnd(String path, int status, String body)
            throws IOException {
        fleet.first.script(unframed(status, true, body, false));
        String request = request(path, "r", "").replace("Connection: close\r\n", "");
        checkUnstated(send(request), status, body);
    }

    /** Checks an answer that was read until its connection ended. */
    static void checkUnstated(String response, int status, String body) {
        assertEquals(status(response), Integer.toString(status));
        assertTrue(response.endsWith("\r\n\r\n" + body), response);
        String head = response.substring(0, response.length() - body.length());
        assertFalse(head.toLowerCase(Locale.ROOT).contains("\r\ncontent-length:"), response);
        assertFalse(head.toLowerCase(Locale.ROOT).contains("\r\ntransfer-encoding:"), response);
        assertTrue(head.toLowerCase(Locale.ROOT).contains("\r\nconnection: close"), response);
    }

    /** Guards against an answer of HTTP/1.0 callers that ends differently. */
    @Test(dataProvider = "whole")
    public void aCallerOfAnEarlierVersionGetsTheWholeAnswer(String path, int status, String body)
            throws IOException {
        fleet.first.script(unframed(status, true, body, false));
        checkUnstated(send(request(path, "r", "").replace("HTTP/1.1", "HTTP/1.0")), status, body);
    }

    /** Returns what a caller reads until the connection ends, however it ends. */
    private String send(String request) throws IOException {
        try (var socket = fleet.connect()) {
            socket.setSoTimeout(END_TIMEOUT_MILLIS);
            return WorkerFake.exchange(socket, request);
        }
    }

    private static String status(String response) {
        return response.length() < 12 ? "" : response.substring(9, 12);
    }
}
