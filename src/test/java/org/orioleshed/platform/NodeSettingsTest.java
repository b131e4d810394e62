package org.orioleshed.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.orioleshed.dispatch.ColdBound;
import org.orioleshed.dispatch.PacingPolicy;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.Region;
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
    public void readsTheRegionOfEachDomain() throws BadSettingsException {
        String text =
                VALID.replace(
                        "\"odd\"",
                        "\"region\":\"r1\",\"zones\":{\"suva-b\":\"r1\",\"lima-a\":\"r2\"},\"odd\"");
        assertEquals(
                NodeSettings.parse(text).gateway().regions(),
                Map.of(
                        new FailureDomain("suva-a"),
                        new Region("r1"),
                        new FailureDomain("suva-b"),
                        new Region("r1"),
                        new FailureDomain("lima-a"),
                        new Region("r2")));
        assertEquals(NodeSettings.parse(VALID).gateway().regions(), Map.of());
    }

    @DataProvider
    Object[][] relayPorts() {
        return new Object[][] {
            {"[7600,7615]", Optional.of(7602)},
            {"[7600,7602]", Optional.of(7602)},
            {"[7600,7601]", Optional.empty()},
            {"[7600]", Optional.empty()},
            {"[65534,70000]", Optional.empty()},
        };
    }

    /** Guards against a host that does not start because its range has no port to forward at. */
    @Test(dataProvider = "relayPorts")
    public void forwardsOnlyWithAThirdPort(String range, Optional<Integer> port)
            throws BadSettingsException {
        NodeSettings settings = NodeSettings.parse(VALID.replace("[7600,7615]", range));
        assertEquals(settings.gateway().relay().map(InetSocketAddress::getPort), port);
    }

    @DataProvider
    Object[][] pacing() {
        return new Object[][] {
            {"", PacingPolicy.OFF},
            {"\"contracts\":[\"placement\"],", PacingPolicy.OFF},
            {"\"contracts\":[\"placement\",\"health\"],", new PacingPolicy(true, 4_000)},
        };
    }

    /** Guards against a changed behaviour where the deployment does not state the contract. */
    @Test(dataProvider = "pacing")
    public void pacesServersOnlyWhereTheHealthContractIsListed(
            String contracts, PacingPolicy expected) throws BadSettingsException {
        String text = VALID.replace("\"ip\":", contracts + "\"ip\":");
        assertEquals(NodeSettings.parse(text).gateway().pacing(), expected);
    }

    /** Guards against a fixed time where the deployment states how long a start is recent. */
    @Test
    public void readsHowLongAStartIsRecent() throws BadSettingsException {
        String text =
                VALID.replace("\"ip\":", "\"contracts\":[\"health\"],\"ip\":")
                        .replace("\"grace-s\"", "\"stable-ms\":2500,\"grace-s\"");
        assertEquals(NodeSettings.parse(text).gateway().pacing(), new PacingPolicy(true, 2_500));
    }

    @Test
    public void slowCallersMayUseAnEighthOfTheStatedMemory() throws BadSettingsException {
        String stated = VALID.replace("\"odd\"", "\"limits\":{\"memory-mb\":400},\"odd\"");
        assertEquals(NodeSettings.parse(stated).bufferBytes(), 50L << 20);
        assertEquals(NodeSettings.parse(VALID).bufferBytes(), 0);
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
            {VALID.replace("\"quota-over\":0.1", "\"quota-over\":null"), "/bounds/quota-over"},
            {VALID.replace("\"quota-over\":0.1", "\"quota-over\":-1"), "/bounds/quota-over"},
            {VALID.replace("140000", "1e999"), "/bounds/quota-slack"},
            {VALID.replace("\"retry-slack\":56", "\"retry-slack\":-1"), "/bounds/retry-slack"},
            {VALID.replace("\"expose-share\":0.1", "\"expose-share\":{}"), "/bounds/expose"},
            {VALID.replace("[\"10.2.0.17:8229\"]", "\"10.2.0.17:8229\""), "/seeds"},
            {VALID.replace("[\"10.2.0.17:8229\"]", "[7]"), "/seeds"},
            {VALID.replace("\"odd\"", "\"zones\":[\"suva-a\"],\"odd\""), "/zones"},
            {VALID.replace("\"odd\"", "\"zones\":\"x\",\"odd\""), "/zones"},
            {VALID.replace("\"odd\"", "\"region\":7,\"odd\""), "region"},
        };
    }

    @Test(dataProvider = "invalidSettings")
    public void errorMessageNamesTheField(String text, String field) {
        BadSettingsException error =
                expectThrows(BadSettingsException.class, () -> NodeSettings.parse(text));
        assertTrue(error.getMessage().contains(field), error.getMessage());
    }
}
