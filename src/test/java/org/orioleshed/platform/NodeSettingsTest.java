package org.orioleshed.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.net.InetSocketAddress;
import java.util.List;
import org.orioleshed.dispatch.ColdBound;
import org.orioleshed.platform.NodeSettings.BadSettingsException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link NodeSettings} with valid and invalid settings. */
public class NodeSettingsTest {
    private static final String VALID =
            """
            // comments are fine
            {"ip":"10.1.0.25","zone":"suva-a","port-range":[7600,7615],
             "seeds":["10.2.0.17:8229"],"odd":{"new":true},
             "listen":{"front":"10.1.0.25:8221","ready":"10.1.0.25:8224"},
             "bounds":{"retry-ratio":0.2,"retry-window-s":10,"retry-slack":56,"grace-s":8,
              "expose-share":0.1,"expose-slack":50,"quota-over":0.1,"quota-slack":140000},
             "platform":{"address":"10.200.1.7:8225"}}
            """;

    @Test
    public void readsGatewayOptionsAndStoreAddress() throws BadSettingsException {
        NodeSettings settings = NodeSettings.parse(VALID);
        assertEquals(settings.gateway().peer(), new InetSocketAddress("10.1.0.25", 7600));
        assertEquals(settings.gateway().seeds(), List.of(new InetSocketAddress("10.2.0.17", 7600)));
        assertEquals(settings.gateway().graceMillis(), 8_000);
        assertEquals(settings.store(), new InetSocketAddress("10.200.1.7", 8225));
    }

    @Test
    public void readsTheBoundOnColdServersIfThereIsOne() throws BadSettingsException {
        assertEquals(NodeSettings.parse(VALID).gateway().coldBound(), ColdBound.DEFAULT);
        String bounds = "\"bounds\":{\"cold-over\":1.5,\"cold-slack\":5,";
        assertEquals(
                NodeSettings.parse(VALID.replace("\"bounds\":{", bounds)).gateway().coldBound(),
                new ColdBound(1.5, 5));
    }

    @DataProvider
    Object[][] invalidSettings() {
        return new Object[][] {
            {"{", "not JSON"},
            {VALID.replace("\"ip\"", "\"ip2\""), "/ip"},
            {VALID.replace("\"zone\":\"suva-a\"", "\"zone\":7"), "/zone"},
            {VALID.replace("[7600,7615]", "[]"), "/port-range/0"},
            {VALID.replace("7600", "99999"), "/port-range/0"},
            {VALID.replace("10.1.0.25:8221", "front:8221"), "/listen/front"},
            {VALID.replace("10.2.0.17:8229", "nowhere"), "/seeds"},
            {VALID.replace("\"retry-ratio\":0.2", "\"retry-ratio\":\"x\""), "/bounds/retry-ratio"},
            {VALID.replace("\"bounds\":{", "\"bounds\":{\"cold-over\":1,"), "/bounds/cold-slack"},
            {VALID.replace("10.200.1.7:8225", ""), "/platform/address"},
        };
    }

    @Test(dataProvider = "invalidSettings")
    public void errorMessageNamesTheField(String text, String field) {
        BadSettingsException error =
                expectThrows(BadSettingsException.class, () -> NodeSettings.parse(text));
        assertTrue(error.getMessage().contains(field), error.getMessage());
    }
}
