package org.orioleshed.platform;

import static org.testng.Assert.assertTrue;

import org.orioleshed.platform.WorkerFake.Script;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests a pipelined request whose rest is read in the same poll as the answer before it. */
public class PipelinedRestTest {
    @DataProvider
    Object[][] stalls() {
        return new Object[][] {{0L}, {1_000L}};
    }

    /** Guards against the rest of a body that is dropped, so that its request gets no answer. */
    @Test(dataProvider = "stalls")
    public void restOfAPipelinedRequestThatIsReadJustAfterAnAnswerIsKept(long stallMillis)
            throws Exception {
        try (Fleet fleet = Fleet.withIdleTimeout(1_000, 2_000);
                KeptConnection connection = new KeptConnection(fleet.connect())) {
            fleet.first.script(Script.streaming(1, 1, 600));
            connection.send(
                    Fleet.request("/s/x", "stream", "").replace("Connection: close\r\n", ""));
            connection.skipPast("\r\n\r\n");
            fleet.first.script(Script.answering(200, "ok"));
            String second = KeptConnection.request("second", 5_000, "abcd");
            connection.send(second.substring(0, second.length() - 2));
            Thread.sleep(100);
            if (stallMillis > 0) {
                fleet.blockDataThread(stallMillis);
            }
            // The stream has ended before the rest is sent.
            Thread.sleep(750);
            connection.send("cd");
            connection.skipPast("\r\n0\r\n\r\n");
            String response = connection.response();
            Thread.sleep(200);
            assertTrue(response.startsWith("HTTP/1.1 200"), "'" + response + "'\n" + fleet.log());
        }
    }
}
