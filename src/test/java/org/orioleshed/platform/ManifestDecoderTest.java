package org.orioleshed.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import org.orioleshed.catalog.BadCatalogException;
import org.orioleshed.catalog.CallRoute;
import org.orioleshed.catalog.Catalog;
import org.orioleshed.catalog.Pool;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.catalog.Repeatability;
import org.orioleshed.catalog.StatedWarmup;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.Region;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServiceId;
import org.orioleshed.model.WorkspaceId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link ManifestDecoder} with valid and malformed entries. */
public class ManifestDecoderTest {
    private static final String CONFIG =
            """
            {"version":7,"routes":[
              {"name":"a","host":"h.example","prefix":"/a/","kind":"stream","timeout-ms":12000,
               "target-latency-ms":600,"priority":1,"attempts":2,"public":false,"sticky":true,
               "resumable":true,"gap-aim-ms":300,"news":{"x":1},
               "backends":[{"service":"s1","weight":90},{"service":"s2","weight":10}]},
              {"name":"b","host":"h.example","prefix":"/a/b/","kind":"non_idempotent",
               "timeout-ms":600,"target-latency-ms":100,"service":"s2","attempts":1,"public":true}],
             "services":[{"name":"s1","max-conns":240,
                          "engine":{"kv-capacity":724795,"stride":7}},
                         {"name":"s2","max-conns":110}],
             "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,
                       "header-timeout-ms":3000,"idle-timeout-ms":15000},
             "tenants":[{"name":"t","api-keys":["k1","k2"],"priority":1,"unit":"tokens",
                         "plain-tokens":200,"rate-per-s":5,"burst":6}]}
            """;

    private final ManifestDecoder decoder = new ManifestDecoder();

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    public void readsRoutesPoolsAndWorkspaces() throws BadCatalogException {
        Catalog catalog = decoder.config(bytes(CONFIG));
        CallRoute stream = catalog.route("h.example", "/a/x").orElseThrow();
        assertEquals(stream.repeatability(), Repeatability.STREAM);
        assertTrue(stream.mayRunAgain());
        assertEquals(stream.pick(0.5), new ServiceId("s1"));
        assertEquals(stream.pick(0.95), new ServiceId("s2"));
        assertEquals(catalog.pools().get(new ServiceId("s1")).eventTokens(), 7);
        assertEquals(
                catalog.access().holder("k2").map(it -> it.workspace()),
                Optional.of(new WorkspaceId("t")));
        assertEquals(catalog.access().holder("k3"), Optional.empty());
    }

    @DataProvider
    Object[][] paths() {
        return new Object[][] {
            {"/a/", "a"},
            {"/a/c/d", "a"},
            {"/a/b/", "b"},
            {"/a/b/c", "b"},
            {"/a/bc", "a"},
            {"/a", null},
            {"/", null},
            {"/b/a/", null},
        };
    }

    @Test(dataProvider = "paths")
    public void longestPrefixWins(String path, String route) throws BadCatalogException {
        Catalog catalog = decoder.config(bytes(CONFIG));
        assertEquals(
                catalog.route("h.example", path).map(CallRoute::id),
                Optional.ofNullable(route).map(RouteId::new));
        assertEquals(catalog.route("other.example", path), Optional.empty());
    }

    @DataProvider
    Object[][] badConfigs() {
        return new Object[][] {
            {"{"},
            {"[]"},
            {""},
            {"{\"routes\":[{\"name\":\"a\",\"kind\":\"odd\"}]}"},
            {
                "{\"routes\":[{\"name\":\"a\",\"kind\":\"stream\",\"prefix\":\"a\",\"host\":\"h\","
                        + "\"service\":\"s\"}]}"
            },
            {CONFIG.replace("\"plain-tokens\"", "\"allowed-regions\":\"r\",\"plain-tokens\"")},
            {CONFIG.replace("\"sticky\"", "\"allowed-regions\":[7],\"sticky\"")},
            {CONFIG.replace("\"sticky\"", "\"allowed-regions\":[\"\"],\"sticky\"")},
        };
    }

    @Test(dataProvider = "badConfigs")
    public void malformedConfigIsRejected(String text) {
        assertThrows(BadCatalogException.class, () -> decoder.config(bytes(text)));
    }

    @Test
    public void readsAllowedRegions() throws BadCatalogException {
        String text =
                CONFIG.replace("\"sticky\"", "\"allowed-regions\":[\"r1\",\"r2\"],\"sticky\"")
                        .replace("\"plain-tokens\"", "\"allowed-regions\":[],\"plain-tokens\"");
        Catalog catalog = decoder.config(bytes(text));
        assertEquals(
                catalog.route("h.example", "/a/x").orElseThrow().allowedRegions(),
                Set.of(new Region("r1"), new Region("r2")));
        assertEquals(catalog.route("h.example", "/a/b/x").orElseThrow().allowedRegions(), Set.of());
        assertEquals(catalog.access().holder("k1").orElseThrow().allowedRegions(), Set.of());
    }

    @DataProvider
    Object[][] operatorKeys() {
        return new Object[][] {
            {"op/evacuate/z1", Optional.of(new FailureDomain("z1"))},
            {"op/evacuate/", Optional.empty()},
            {"op/evacuate/" + "z".repeat(201), Optional.empty()},
            {"op/evacuated", Optional.empty()},
            {"op/config", Optional.empty()},
            {"op/rollout/s", Optional.empty()},
        };
    }

    /** Guards against a key that stops a host from reading the other keys. */
    @Test(dataProvider = "operatorKeys")
    public void evacuatedDomainIsTheLastPartOfTheKey(String key, Optional<FailureDomain> expected) {
        assertEquals(decoder.evacuated(key), expected);
    }

    @Test
    public void readsServer() throws BadCatalogException {
        PoolServer server =
                decoder.server(
                        "servers/i-1",
                        bytes(
                                "{\"service\":\"s\",\"address\":\"10.1.2.3:80\",\"zone\":\"z\","
                                        + "\"version\":\"v1\",\"batch-slots\":11,"
                                        + "\"state\":\"draining\",\"born\":5,\"odd\":[]}"));
        assertEquals(server.id().value(), "i-1");
        assertEquals(server.slots(), 11);
        assertTrue(server.draining());
        assertEquals(server.startMillis(), 5);
    }

    @DataProvider
    Object[][] warmups() {
        return new Object[][] {
            {"3000", 3_000L},
            {"2500.7", 2_500L},
            {"0", 0L},
            {"-1", -1L},
            {"\"soon\"", -1L},
            {"null", -1L},
            {"1e300", Long.MAX_VALUE}
        };
    }

    /** A value that can't be read must neither hide the server nor make it cold. */
    @Test(dataProvider = "warmups")
    public void readsHowLongAServerIsCold(String value, long leftMillis)
            throws BadCatalogException {
        String entry = entry("\"ready\"", "\"10.1.2.3:80\"", "3");
        String warming = entry.replace("{", "{\"warmup-left-ms\":" + value + ",");
        assertEquals(decoder.server("servers/i", bytes(warming)).warmup().leftMillis(), leftMillis);
        assertEquals(decoder.server("servers/i", bytes(entry)).warmup(), StatedWarmup.NONE);
    }

    @DataProvider
    Object[][] poolWarmups() {
        return new Object[][] {
            {"", 0L, 0.0},
            {",\"warmup-s\":3.5,\"warmup-per-s\":12.0", 3_500L, 12.0},
            {",\"warmup-s\":3,\"warmup-per-s\":0", 3_000L, 0.0},
        };
    }

    @Test(dataProvider = "poolWarmups")
    public void readsTheWarmupOfAPool(String fields, long millis, double perSecond)
            throws BadCatalogException {
        byte[] config =
                bytes("{\"routes\":[],\"services\":[{\"name\":\"s\"%s}]}".formatted(fields));
        Pool pool = decoder.config(config).pools().get(new ServiceId("s"));
        assertEquals(pool.warmupMillis(), millis);
        assertEquals(pool.warmupPerSecond(), perSecond);
        assertEquals(pool.hasWarmup(), perSecond > 0);
    }

    @DataProvider
    Object[][] badServers() {
        return new Object[][] {
            {"\u0000\u0001"},
            {"{\"service\":\"s\"}"},
            {entry("\"odd\"", "\"10.1.2.3:80\"", "3")},
            {entry("\"ready\"", "\"host:80\"", "3")},
            {entry("\"ready\"", "\"10.1.2.3\"", "3")},
            {entry("\"ready\"", "7", "3")},
            {entry("\"ready\"", "\"10.1.2.3:80\"", "0")},
            {entry("\"ready\"", "\"10.1.2.3:80\"", "\"3\"")},
            {entry("\"ready\"", "\"10.1.2.3:0\"", "3")},
            {entry("\"ready\"", "\"10.1.2.3:65536\"", "3")},
            {entry("\"ready\"", "\"1.1:80\"", "3")},
            {entry("\"ready\"", "\"999.1.1.1:80\"", "3")},
            {entry("\"ready\"", "\"10.1.2.3:80\"", "4294967304")},
            {entry("\"ready\"", "\"10.1.2.3:80\"", "3,\"born\":1e400")},
            {entry("\"ready\"", "\"10.1.2.3:80\"", "3,\"born\":99999999999999999999")},
            {"[".repeat(100_000)},
        };
    }

    private static String entry(String state, String address, String slots) {
        return "{\"service\":\"s\",\"address\":%s,\"zone\":\"z\",\"version\":\"v\",\"batch-slots\":%s,\"state\":%s}"
                .formatted(address, slots, state);
    }

    @Test(dataProvider = "badServers")
    public void malformedServerEntryIsRejected(String text) {
        assertThrows(BadCatalogException.class, () -> decoder.server("servers/i", bytes(text)));
    }
}
