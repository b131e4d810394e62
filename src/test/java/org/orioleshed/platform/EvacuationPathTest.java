package org.orioleshed.platform;

import static org.orioleshed.platform.Fleet.await;
import static org.orioleshed.platform.Fleet.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import org.orioleshed.platform.WorkerFake.Script;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests over sockets of the key that evacuates a failure domain, from the store to the caller. */
public class EvacuationPathTest {
    private static final String KEY = "op/evacuate/z";

    private Fleet fleet;

    @BeforeMethod
    public void open() throws IOException {
        fleet = new Fleet(4_000, 100_000);
    }

    @AfterMethod
    public void close() throws IOException {
        fleet.close();
    }

    private void evacuate() {
        fleet.store.put(KEY, "{}");
        await(() -> fleet.log().contains("event=evacuation_started domain=z"));
    }

    /** Guards against callers that wait, or are not told that their request did not run. */
    @Test
    public void requestsAreRefusedAsNotRunWhileNoServerRemains() throws IOException {
        evacuate();
        String response = fleet.send(request("/o/x", "r1", "{}"));
        assertTrue(response.startsWith("HTTP/1.1 503"), response);
        assertTrue(response.contains("Retry-After"), response);
        assertEquals(fleet.first.requests.size(), 0);
    }

    @Test
    public void requestsAreServedAgainAfterTheKeyIsRemoved() throws IOException {
        evacuate();
        fleet.store.delete(KEY);
        await(() -> fleet.log().contains("event=evacuation_ended domain=z"));
        String response = fleet.send(request("/o/x", "r1", "{}"));
        assertTrue(response.startsWith("HTTP/1.1 200"), response);
    }

    @Test
    public void keyRemovedWhileTheStoreIsDownEndsTheEvacuation() throws IOException {
        evacuate();
        fleet.store.failWith(500);
        fleet.store.delete(KEY);
        fleet.store.forgetHistory();
        fleet.store.failWith(0);
        await(() -> fleet.log().contains("event=evacuation_ended domain=z"));
    }

    /** Guards against a stream that is broken off because its server's domain is evacuated. */
    @Test
    public void streamUnderWayEndsNormally() throws IOException {
        fleet.first.script(
                (call, out, in) -> {
                    evacuate();
                    return Script.streaming(1, 3, 20).play(call, out, in);
                });
        String response = fleet.send(request("/s/x", "r1", "{}"));
        assertTrue(response.contains("data: e3"), response);
    }

    @Test
    public void numberOfEvacuatedDomainsIsAMetric() {
        evacuate();
        await(() -> fleet.metric("emptied_domains") == 1);
    }
}
