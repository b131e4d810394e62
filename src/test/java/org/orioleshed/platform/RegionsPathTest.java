package org.orioleshed.platform;

import static org.orioleshed.platform.Fleet.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.Map;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.Region;
import org.orioleshed.platform.WorkerFake.Request;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests over sockets with servers in two regions: guards against a request that reaches a server
 * outside the regions that its route and its workspace allow. The host and the first server are in
 * domain z of region home, the second server in domain y of region away.
 */
public class RegionsPathTest {
    private static final String CONFIG =
            """
            {"version":1,"routes":[
              {"name":"any","host":"h","prefix":"/any/","kind":"idempotent","service":"pool"},
              {"name":"home","host":"h","prefix":"/home/","kind":"idempotent","service":"pool",
               "allowed-regions":["home"]},
              {"name":"away","host":"h","prefix":"/away/","kind":"idempotent","service":"pool",
               "allowed-regions":["away"]},
              {"name":"both","host":"h","prefix":"/both/","kind":"idempotent","service":"pool",
               "allowed-regions":["home","away"]},
              {"name":"none","host":"h","prefix":"/none/","kind":"idempotent","service":"pool",
               "allowed-regions":["elsewhere"]}],
             "services":[{"name":"pool"}],
             "tenants":[{"name":"ws","api-keys":["key"],"rate-per-s":1000,"burst":1000},
                        {"name":"bound","api-keys":["bound"],"rate-per-s":1000,"burst":1000,
                         "allowed-regions":["away"]}]}
            """;
    private static final int CALLS = 10;

    private Fleet fleet;

    @BeforeMethod
    public void open() throws IOException {
        fleet =
                Fleet.withRegions(
                        CONFIG,
                        Map.of(
                                new FailureDomain("z"),
                                new Region("home"),
                                new FailureDomain("y"),
                                new Region("away")));
        fleet.addSecond("y");
    }

    @AfterMethod
    public void close() throws IOException {
        fleet.close();
    }

    @DataProvider
    Object[][] servedCalls() {
        return new Object[][] {
            {"/home/x", "key", true},
            {"/away/x", "key", false},
            {"/any/x", "bound", false},
            {"/both/x", "bound", false},
            {"/away/x", "bound", false},
        };
    }

    @Test(dataProvider = "servedCalls")
    public void requestsReachOnlyAllowedRegions(String path, String key, boolean home)
            throws IOException {
        for (int i = 0; i < CALLS; i++) {
            String response = call(path, key, "r" + i);
            assertTrue(response.startsWith("HTTP/1.1 200"), response);
        }
        assertEquals(served(fleet.first), home ? CALLS : 0);
        assertEquals(served(fleet.second), home ? 0 : CALLS);
    }

    @DataProvider
    Object[][] refusedCalls() {
        return new Object[][] {{"/none/x", "key"}, {"/home/x", "bound"}};
    }

    @Test(dataProvider = "refusedCalls")
    public void requestsThatNoRegionMayServeAreRefused(String path, String key) throws IOException {
        String response = call(path, key, "r1");
        assertTrue(response.startsWith("HTTP/1.1 503"), response);
        assertEquals(served(fleet.first) + served(fleet.second), 0);
    }

    /** Guards against a second attempt outside the allowed regions. */
    @Test
    public void failedRequestIsNotRepeatedInAnotherRegion() throws IOException {
        fleet.second.script(WorkerFake.Script.answering(500, ""));
        String response = call("/away/x", "key", "r1");
        assertTrue(response.startsWith("HTTP/1.1 5"), response);
        assertEquals(served(fleet.first), 0);
    }

    private String call(String path, String key, String id) throws IOException {
        return fleet.send(request(path, id, "{}").replace("Api-Key: key", "Api-Key: " + key));
    }

    private static long served(WorkerFake server) {
        return server.requests.stream().map(Request::id).filter(id -> !id.isEmpty()).count();
    }
}
