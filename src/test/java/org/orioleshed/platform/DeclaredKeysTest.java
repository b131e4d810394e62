package org.orioleshed.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests over sockets of who may call under a configuration whose workspaces or keys are left out,
 * empty or malformed.
 */
public class DeclaredKeysTest {
    private static final String WORKSPACE = "{\"name\":\"ws\",\"api-keys\":[\"key\"]}";

    @DataProvider
    Object[][] declaredAccess() {
        return new Object[][] {
            {"", "keys_required=false workspaces=0 keys=0 open_routes=1", 0},
            {"[" + WORKSPACE + "]", "keys_required=true workspaces=1 keys=1 open_routes=1", 1},
        };
    }

    /** Guards against operators who can't see which configuration opened the routes. */
    @Test(dataProvider = "declaredAccess")
    public void operatorsSeeWhoMayCall(String tenants, String logged, int keysRequired)
            throws IOException {
        try (Fleet fleet = Fleet.withConfig(Fleet.configWithTenants(7, tenants))) {
            Fleet.await(() -> fleet.log().contains("event=config_in_force"));
            String line =
                    fleet.log().lines().filter(it -> it.contains("version=7")).findFirst().get();
            assertTrue(line.endsWith(logged), line);
            assertEquals(fleet.metric("keys_required"), keysRequired);
        }
    }

    @DataProvider
    Object[][] workspacesAndKeys() {
        return new Object[][] {
            {"", Access.ALL},
            {"[]", Access.NOBODY},
            {"[" + WORKSPACE + "]", Access.HOLDER},
            {"[{\"name\":\"ws\"}]", Access.NOBODY},
            {"[{\"name\":\"ws\",\"api-keys\":[]}]", Access.NOBODY},
            {"[{\"name\":\"ws\",\"api-keys\":[\"\"]}]", Access.NOBODY},
            {"[{\"name\":\"ws\",\"api-keys\":[\" \"]}]", Access.NOBODY},
            {"[{\"name\":\"ws\",\"api-keys\":[\"\",\"key\"]}]", Access.HOLDER},
        };
    }

    /** Guards against a configuration without workspaces that opens all routes (review/14). */
    @Test(dataProvider = "workspacesAndKeys")
    public void onlyAConfigurationThatDeclaresNoWorkspacesOpensRoutes(
            String tenants, Access expected) throws IOException {
        try (Fleet fleet = Fleet.withConfig(Fleet.configWithTenants(1, tenants))) {
            checkAccess(fleet, expected);
        }
    }

    /** As above, for the change from one workspace, which review/14 makes. */
    @Test(dataProvider = "workspacesAndKeys")
    public void theChangeDecidesWhoMayCall(String tenants, Access expected) throws IOException {
        checkAfterChange(tenants, expected);
    }

    @DataProvider
    Object[][] malformedWorkspacesAndKeys() {
        return new Object[][] {
            {"null"},
            {"{}"},
            {"\"\""},
            {"\"x\""},
            {"0"},
            {"false"},
            {"{\"a\":" + WORKSPACE + "}"},
            {"[null]"},
            {"[\"ws\"]"},
            {"[{\"name\":\"ws\",\"api-keys\":null}]"},
            {"[{\"name\":\"ws\",\"api-keys\":\"key\"}]"},
            {"[{\"name\":\"ws\",\"api-keys\":{\"a\":\"other\"}}]"},
            {"[{\"name\":\"ws\",\"api-keys\":[null]}]"},
            {"[{\"name\":\"ws\",\"api-keys\":[{}]}]"},
        };
    }

    /** Guards against a malformed list of workspaces or keys that opens routes. */
    @Test(dataProvider = "malformedWorkspacesAndKeys")
    public void aMalformedListLeavesTheEarlierConfigurationInForce(String tenants)
            throws IOException {
        checkAfterChange(tenants, Access.HOLDER);
    }

    /** Guards against a host that serves callers though it could not read who may call. */
    @Test(dataProvider = "malformedWorkspacesAndKeys")
    public void aMalformedFirstConfigurationServesNobody(String tenants) throws IOException {
        try (Fleet fleet = Fleet.withFirstConfig(Fleet.configWithTenants(1, tenants))) {
            Fleet.await(() -> fleet.log().contains("event=config_unreadable"));
            String request =
                    Fleet.request("/o/x", "r", "")
                            .replace("X-Deadline-Ms: 5000", "X-Deadline-Ms: 300");
            String response = fleet.send(request);
            assertTrue(response.startsWith("HTTP/1.1 503"), response);
            assertEquals(fleet.first.requests.size(), 0);
        }
    }

    private static void checkAfterChange(String tenants, Access expected) throws IOException {
        try (Fleet fleet = Fleet.withConfig(Fleet.configWithTenants(1, "[" + WORKSPACE + "]"))) {
            checkAccess(fleet, Access.HOLDER);
            fleet.writeConfig(Fleet.configWithTenants(2, tenants));
            checkAccess(fleet, expected);
        }
    }

    /** Who is served on a route that is not public. */
    enum Access {
        ALL(true, true),
        HOLDER(true, false),
        NOBODY(false, false);

        private final boolean withKey;
        private final boolean withoutKey;

        Access(boolean withKey, boolean withoutKey) {
            this.withKey = withKey;
            this.withoutKey = withoutKey;
        }
    }

    private static void checkAccess(Fleet fleet, Access expected) throws IOException {
        fleet.first.script(WorkerFake.Script.streaming(1, 1, 0));
        for (String path : List.of("/s/x", "/o/x", "/i/x")) {
            checkServed(fleet, path, "Api-Key: key", expected.withKey);
            checkServed(fleet, path, "Api-Key: other", expected.withoutKey);
            checkServed(fleet, path, "Api-Key: null", expected.withoutKey);
            checkServed(fleet, path, "Api-Key:", expected.withoutKey);
            checkServed(fleet, path, "X-Other: key", expected.withoutKey);
        }
        checkServed(fleet, "/p/x", "X-Other: key", true);
    }

    private static void checkServed(Fleet fleet, String path, String keyField, boolean served)
            throws IOException {
        int before = fleet.first.requests.size();
        String request = Fleet.request(path, "r" + before, "").replace("Api-Key: key", keyField);
        String status = fleet.send(request).substring("HTTP/1.1 ".length()).substring(0, 3);
        assertEquals(status, served ? "200" : "401", path + " with " + keyField);
        assertEquals(fleet.first.requests.size() > before, served, path + " with " + keyField);
    }
}
