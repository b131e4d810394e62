package org.orioleshed.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.Socket;
import org.testng.annotations.Test;

/** For how long hosts keep the idle connections on which other hosts forward requests. */
public class RelayIdleTimeoutTest {
    private static final String CALLERS_IDLE = "\"idle-timeout-ms\":500";

    /** For how long a sending host uses an idle connection whose keep-alive time is not stated. */
    private static final long REUSED_MILLIS = 4_000;

    /**
     * Guards against a connection that the receiving host closes by the callers' idle timeout while
     * the sending host still uses it, so that a forwarded request is lost.
     */
    @Test
    public void shortIdleTimeoutOfCallersDoesNotCloseConnectionsOfHosts() throws Exception {
        String config =
                Fleet.CONFIG
                        .formatted(5_000, 100_000)
                        .replace("\"idle-timeout-ms\":15000", CALLERS_IDLE);
        assertTrue(config.contains(CALLERS_IDLE), config);
        try (RelayFleet fleet = new RelayFleet(2, config);
                Socket socket = fleet.connectToRelay(1);
                KeptConnection connection = new KeptConnection(socket)) {
            String request = KeptConnection.request("kept", 5_000, "ab");
            String first = connection.exchange(request);
            assertTrue(first.startsWith("HTTP/1.1 "), first);
            Thread.sleep(REUSED_MILLIS);
            String second = connection.exchange(request);
            assertEquals(statusLine(second), statusLine(first), fleet.hosts.get(1).log());
        }
    }

    private static String statusLine(String response) {
        return response.lines().findFirst().orElse("");
    }
}
