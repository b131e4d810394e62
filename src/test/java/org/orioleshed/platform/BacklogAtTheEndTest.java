package org.orioleshed.platform;

import static org.testng.Assert.assertEquals;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests requests on more connections in the listener's backlog than one poll accepts. */
public class BacklogAtTheEndTest {
    private static final long GRACE_MILLIS = 2_000;

    /** The stall begins before the service ends (1,800 ms), and ends before the kill. */
    private static final long STALL_AT_MILLIS = 1_600;

    private static final int CONNECTIONS = 60;

    @DataProvider
    Object[][] stalls() {
        // Ends before, and after, the final deadline (1,900 ms).
        return new Object[][] {{230L}, {340L}};
    }

    /** Guards against requests that the close of the listener resets, received but not accepted. */
    @Test(dataProvider = "stalls")
    public void allRequestsInALongBacklogAreAnsweredWhenTheServiceEnds(long stallMillis)
            throws Exception {
        try (Fleet fleet = Fleet.withIdleTimeout(15_000, GRACE_MILLIS)) {
            Socket longCaller = fleet.keepBusy();
            long stopNanos = System.nanoTime();
            Thread.ofVirtual().start(fleet::stop);
            Fleet.await(() -> fleet.log().contains("event=leaving"));
            Thread.sleep(STALL_AT_MILLIS - (System.nanoTime() - stopNanos) / 1_000_000);
            fleet.blockDataThread(stallMillis);
            List<KeptConnection> connections = new ArrayList<>();
            for (int i = 0; i < CONNECTIONS; i++) {
                KeptConnection connection = new KeptConnection(fleet.connect());
                connection.send(KeptConnection.request("r" + i, 900, "ab"));
                connections.add(connection);
            }
            int answered = 0;
            for (KeptConnection connection : connections) {
                if (connection.response().startsWith("HTTP/1.1 ")) {
                    answered++;
                }
                connection.close();
            }
            assertEquals(answered, CONNECTIONS, fleet.log());
            longCaller.close();
        }
    }
}
