package org.orioleshed.platform;

import static org.testng.Assert.assertTrue;

import org.orioleshed.platform.WorkerFake.Script;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests answers that a host received whole and has not read when its service ends. */
public class AnswerUnreadAtTheEndTest {
    private static final long GRACE_MILLIS = 2_000;

    /** The end of the service, after the signal; the final deadline is 100 ms later. */
    private static final long SERVICE_MILLIS = 1_800;

    private static final long STALL_AT_MILLIS = 1_400;

    private static final int GAP_MILLIS = 20;

    @DataProvider
    Object[][] stallEnds() {
        // Before and after the end of the service.
        return new Object[][] {{SERVICE_MILLIS - 60}, {SERVICE_MILLIS + 40}};
    }

    /** Guards against a stream that is cut off though its end lies in the host's socket. */
    @Test(dataProvider = "stallEnds")
    public void streamWhoseEndIsUnreadWhenTheServiceEndsIsPassedOn(long stallEndMillis)
            throws Exception {
        try (Fleet fleet = Fleet.withIdleTimeout(15_000, GRACE_MILLIS);
                KeptConnection connection = new KeptConnection(fleet.connect())) {
            // The server ends its stream in the middle of the stall.
            fleet.first.script(Script.streaming(1, 75, GAP_MILLIS));
            connection.send(
                    Fleet.request("/s/x", "stream", "").replace("Connection: close\r\n", ""));
            connection.skipPast("\r\n\r\n");
            long stopNanos = System.nanoTime();
            Thread.ofVirtual().start(fleet::stop);
            Thread.sleep(STALL_AT_MILLIS);
            long passedMillis = (System.nanoTime() - stopNanos) / 1_000_000;
            fleet.blockDataThread(stallEndMillis - passedMillis);
            connection.skipPast("\r\n0\r\n\r\n");
            assertTrue(fleet.log().contains("event=leaving"), fleet.log());
        }
    }
}
