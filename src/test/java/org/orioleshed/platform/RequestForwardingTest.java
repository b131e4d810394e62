package org.orioleshed.platform;

import static org.orioleshed.platform.Fleet.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import org.orioleshed.platform.ServerPath.Fault;
import org.orioleshed.platform.WorkerFake.Script;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests over sockets of a host that can't reach servers and forwards requests to other hosts. */
public class RequestForwardingTest {
    private static final long TIMEOUT_MILLIS = 4_000;

    private RelayFleet fleet;
    private RelayFleet.Host cutOff;

    @BeforeMethod
    public void open() throws IOException {
        fleet = new RelayFleet(3, TIMEOUT_MILLIS, 100_000);
        cutOff = fleet.hosts.getFirst();
    }

    @AfterMethod
    public void close() throws IOException {
        fleet.close();
    }

    private static String status(String response) {
        return response.startsWith("HTTP/1.1 ") ? response.substring(9, 12) : response;
    }

    /** Breaks all paths of the first host and sends requests until it notices. */
    private void lose(Fault fault) throws IOException {
        fleet.set(RelayFleet.SERVERS, fault);
        Fleet.await(
                () -> {
                    var unused = cutOff.send(request("/i/x", "probe", ""));
                    return cutOff.log().contains("event=servers_lost");
                });
    }

    @DataProvider
    Object[][] faults() {
        return new Object[][] {{Fault.REFUSED}, {Fault.HANGING}, {Fault.RESET}};
    }

    /** Guards against a host that fails its callers while other hosts reach the servers. */
    @Test(dataProvider = "faults")
    public void forwardsWhileNoServerIsReachable(Fault fault) throws IOException {
        lose(fault);
        String response = cutOff.send(request("/o/x?q=1", "r1", "body"));
        assertEquals(status(response), "200", cutOff.log());
        assertTrue(response.contains("X-Response-Signature: s"), response);
        assertTrue(response.endsWith("\r\n\r\nok"), response);
        assertEquals(fleet.received("r1"), 1);
        fleet.script(Script.streaming(1, 5, 1));
        String stream = cutOff.send(request("/s/x", "r2", ""));
        assertEquals(status(stream), "200", cutOff.log());
        assertTrue(stream.contains("data: e5") && stream.endsWith("0\r\n\r\n"), stream);
    }

    /** Guards against forwarding by a host that reaches its servers. */
    @Test
    public void doesNotForwardWhileServersAreReachable() {
        assertEquals(status(cutOff.send(request("/o/x", "r1", ""))), "200");
        assertEquals(cutOff.counter("requests_forwarded"), 0);
    }

    /** Guards against forwarding that outlasts the partition. */
    @Test
    public void servesDirectlyAfterTheServersReturned() throws IOException {
        lose(Fault.REFUSED);
        fleet.set(RelayFleet.SERVERS, Fault.NONE);
        Fleet.await(() -> cutOff.log().contains("event=servers_returned"));
        long before = cutOff.counter("requests_forwarded");
        assertEquals(status(cutOff.send(request("/o/x", "r1", ""))), "200", cutOff.log());
        assertEquals(cutOff.counter("requests_forwarded"), before);
    }
}
