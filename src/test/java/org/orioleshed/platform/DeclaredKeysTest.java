package org.orioleshed.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests over sockets of who may call under a configuration whose workspaces or keys are left out,
 * empty or malformed.
 */
public class DeclaredKeysTest {
    private static final String WORKSPACE = "{\"name\":\"ws\",\"api-keys\":[\"key\"]}";

    private static String config(int version, String tenants) {
        return Fleet.CONFIG
                        .formatted(5_000, 100_000)
                        .replace("\"version\":1", "\"version\":" + version)
                        .replaceFirst("(?s),\\s*\"tenants\":.*", "")
                + (tenants.isEmpty() ? "" : ",\"tenants\":" + tenants)
                + "}";
    }

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
        try (Fleet fleet = Fleet.withConfig(config(7, tenants))) {
            Fleet.await(() -> fleet.log().contains("event=config_in_force"));
            String line =
                    fleet.log().lines().filter(it -> it.contains("version=7")).findFirst().get();
            assertTrue(line.endsWith(logged), line);
            assertEquals(fleet.metric("keys_required"), keysRequired);
        }
    }
}
