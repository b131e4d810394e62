package org.orioleshed.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.orioleshed.platform.WorkerFake.Script;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that requests which wait for a slot are answered when the configuration changes. */
public class WaitingRequestsTest {
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final long GRACE_MILLIS = 2_000;
    private static final long DEADLINE_MILLIS = 1_500;
    private static final long SETTLE_MILLIS = 150;

    private static final String CONFIG =
            Fleet.CONFIG
                    .formatted(TIMEOUT_MILLIS, 100_000)
                    .replace("\"version\":1", "\"version\":2");

    @DataProvider
    Object[][] changes() {
        return new Object[][] {
            {"no route", CONFIG.replace("\"prefix\":\"/o/\"", "\"prefix\":\"/gone/\"")},
            {"no key", CONFIG.replace("\"api-keys\":[\"key\"]", "\"api-keys\":[\"other\"]")},
            {"no workspace", CONFIG.replace("\"name\":\"ws\"", "\"name\":\"other\"")},
            {"quota", CONFIG.replace("\"rate-per-s\":100000", "\"rate-per-s\":1")},
            {"timeout", CONFIG.replace("\"timeout-ms\":5000", "\"timeout-ms\":300")},
            {"size of bodies", CONFIG.replace("\"max-body-bytes\":65536", "\"max-body-bytes\":1")},
            {"size of heads", CONFIG.replace("-header-bytes\":4096", "-header-bytes\":64")},
            {"idle time", CONFIG.replace("\"idle-timeout-ms\":15000", "\"idle-timeout-ms\":1")},
            {"service", CONFIG.replace("\"service\":\"pool\"", "\"service\":\"other\"")},
        };
    }

    /** Guards against a request that ends unanswered as what it was accepted under is gone. */
    @Test(dataProvider = "changes")
    public void requestThatWaitsWhileTheConfigurationChangesIsAnswered(String name, String changed)
            throws Exception {
        try (Fleet fleet = Fleet.with(TIMEOUT_MILLIS, 1, GRACE_MILLIS);
                Socket occupying = fleet.connect();
                KeptConnection waiting = new KeptConnection(fleet.connect())) {
            CountDownLatch release = new CountDownLatch(1);
            fleet.first.script(
                    (request, out, in) -> {
                        release.await();
                        return Script.answering(200, "ok").play(request, out, in);
                    });
            occupying
                    .getOutputStream()
                    .write(WorkerFake.bytes(Fleet.request("/o/x", "running", "")));
            Fleet.await(() -> fleet.first.requests.size() == 1);
            waiting.send(KeptConnection.request("waiting", DEADLINE_MILLIS, "ab"));
            Fleet.await(() -> fleet.requestsRead() == 2);
            fleet.store.put("op/config", changed);
            Fleet.await(() -> fleet.log().contains("version=2 source="));
            Thread.sleep(SETTLE_MILLIS);
            release.countDown();
            String response = waiting.response();
            assertTrue(response.startsWith("HTTP/1.1 "), name + ": " + fleet.log());
            String answer = WorkerFake.exchange(occupying, "");
            assertEquals(answer.substring(0, 12), "HTTP/1.1 200", name);
        }
    }
}
