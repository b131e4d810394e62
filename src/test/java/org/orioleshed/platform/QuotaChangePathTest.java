package org.orioleshed.platform;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards, over sockets, against a quota that is granted again after a version of the configuration
 * that leaves it out. Each request uses 110 units.
 */
public class QuotaChangePathTest {
    private static final String QUOTA =
            "[{\"name\":\"ws\",\"api-keys\":[\"key\"],\"unit\":\"tokens\",\"rate-per-s\":1,"
                    + "\"burst\":1100}]";
    private static final int MAX_REQUESTS = 20;

    @DataProvider
    Object[][] versionsInBetween() {
        return new Object[][] {
            {QUOTA},
            {"[]"},
            {"[{\"name\":\"other\"}]"},
            {"[{\"name\":\"ws\"}]"},
            {"[{\"name\":\"ws\",\"api-keys\":[\"key\"]}]"},
            {QUOTA.replace(",\"burst\":1100", "")},
        };
    }

    @Test(dataProvider = "versionsInBetween")
    public void aQuotaThatIsUsedUpStaysUsedUp(String tenants) throws Exception {
        try (Fleet fleet = Fleet.withConfig(Fleet.configWithTenants(1, QUOTA))) {
            assertTrue(servedBeforeRefusal(fleet, "a") > 0);
            fleet.writeConfig(Fleet.configWithTenants(2, tenants));
            Thread.sleep(1_500);
            fleet.writeConfig(Fleet.configWithTenants(3, QUOTA));
            int again = servedBeforeRefusal(fleet, "b");
            assertTrue(again == 0, "served " + again + " more");
        }
    }

    private static int servedBeforeRefusal(Fleet fleet, String id) throws IOException {
        for (int served = 0; served < MAX_REQUESTS; served++) {
            String response = fleet.send(Fleet.request("/i/x", id + served, ""));
            if (response.startsWith("HTTP/1.1 429")) {
                return served;
            }
            assertTrue(response.startsWith("HTTP/1.1 200"), response);
        }
        return MAX_REQUESTS;
    }
}
