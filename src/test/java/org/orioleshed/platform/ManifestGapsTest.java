package org.orioleshed.platform;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.stream.Collectors;
import org.orioleshed.catalog.BadCatalogException;
import org.orioleshed.catalog.CallRoute;
import org.orioleshed.catalog.Catalog;
import org.orioleshed.catalog.Quota;
import org.orioleshed.catalog.WorkspaceConfig;
import org.orioleshed.model.Region;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of {@link ManifestDecoder} with each field that decides who may call, how much, and where
 * to: left out, empty and malformed. The rows are those of docs/design/left-out-or-malformed.md.
 */
public class ManifestGapsTest {
    private static final String REFUSED = "refused";
    private static final String ROUTE =
            "\"name\":\"a\",\"host\":\"h\",\"prefix\":\"/a/\",\"kind\":\"idempotent\"";

    private final ManifestDecoder decoder = new ManifestDecoder();

    /** Returns what the decoder makes of a manifest, by a reading; or that it refuses it. */
    private String decode(String manifest, Reading reading) {
        try {
            return reading.of(decoder.config(manifest.getBytes(StandardCharsets.UTF_8)));
        } catch (BadCatalogException e) {
            return REFUSED;
        }
    }

    /** What a configuration says of the matter of one test. */
    private interface Reading {
        String of(Catalog catalog);
    }

    private static Optional<CallRoute> route(Catalog catalog) {
        return catalog.route("h", "/a/x");
    }

    private static String routeWith(String fields) {
        return "{\"version\":1,\"routes\":[{" + ROUTE + fields + "}]}";
    }

    private static String tenantWith(String fields) {
        return "{\"version\":1,\"routes\":[],\"tenants\":[{\"name\":\"t\",\"api-keys\":[\"k\"]"
                + fields
                + "}]}";
    }

    @DataProvider
    Object[][] publicFlags() {
        return new Object[][] {
            {"", "false"},
            {",\"public\":true", "true"},
            {",\"public\":false", "false"},
            {",\"public\":null", REFUSED},
            {",\"public\":\"true\"", REFUSED},
            {",\"public\":\"\"", REFUSED},
            {",\"public\":1", REFUSED},
            {",\"public\":[]", REFUSED},
            {",\"public\":{}", REFUSED},
        };
    }

    /** Guards against a malformed flag that opens a route. */
    @Test(dataProvider = "publicFlags")
    public void aRouteIsOpenOnlyIfItSaysSo(String field, String expected) {
        String manifest = routeWith(",\"service\":\"s\"" + field);
        assertEquals(decode(manifest, it -> "" + route(it).orElseThrow().open()), expected);
    }

    @DataProvider
    Object[][] resumableFlags() {
        return new Object[][] {
            {"", "false"},
            {",\"resumable\":true", "true"},
            {",\"resumable\":false", "false"},
            {",\"resumable\":null", REFUSED},
            {",\"resumable\":\"true\"", REFUSED},
            {",\"resumable\":1", REFUSED},
        };
    }

    /** Guards against a malformed flag that lets a stream run twice. */
    @Test(dataProvider = "resumableFlags")
    public void aStreamRunsAgainOnlyIfItsRouteSaysSo(String field, String expected) {
        String manifest =
                routeWith(",\"service\":\"s\"" + field).replace("\"idempotent\"", "\"stream\"");
        assertEquals(decode(manifest, it -> "" + route(it).orElseThrow().mayRunAgain()), expected);
    }

    @DataProvider
    Object[][] quotas() {
        return new Object[][] {
            {"", "none"},
            {",\"rate-per-s\":0", "none"},
            {",\"burst\":5", "none"},
            {",\"rate-per-s\":5", "5.0 0.0 calls"},
            {",\"rate-per-s\":5,\"burst\":0", "5.0 0.0 calls"},
            {",\"rate-per-s\":5,\"burst\":6", "5.0 6.0 calls"},
            {",\"rate-per-s\":5,\"unit\":\"tokens\"", "5.0 0.0 tokens 1"},
            {",\"rate-per-s\":5,\"unit\":\"tokens\",\"plain-tokens\":7", "5.0 0.0 tokens 7"},
            {",\"rate-per-s\":5,\"unit\":\"requests\"", "5.0 0.0 calls"},
            {",\"rate-per-s\":null", REFUSED},
            {",\"rate-per-s\":\"\"", REFUSED},
            {",\"rate-per-s\":\"x\"", REFUSED},
            {",\"rate-per-s\":\"5\"", REFUSED},
            {",\"rate-per-s\":-1", REFUSED},
            {",\"rate-per-s\":1e999", REFUSED},
            {",\"rate-per-s\":{}", REFUSED},
            {",\"rate-per-s\":[]", REFUSED},
            {",\"rate-per-s\":false", REFUSED},
            {",\"rate-per-s\":5,\"burst\":null", REFUSED},
            {",\"rate-per-s\":5,\"burst\":\"x\"", REFUSED},
            {",\"rate-per-s\":5,\"burst\":-1", REFUSED},
            {",\"rate-per-s\":5,\"burst\":1e999", REFUSED},
            {",\"rate-per-s\":5,\"unit\":null", REFUSED},
            {",\"rate-per-s\":5,\"unit\":\"\"", REFUSED},
            {",\"rate-per-s\":5,\"unit\":\"token\"", REFUSED},
            {",\"rate-per-s\":5,\"unit\":[]", REFUSED},
            {",\"rate-per-s\":5,\"unit\":\"tokens\",\"plain-tokens\":null", REFUSED},
            {",\"rate-per-s\":5,\"unit\":\"tokens\",\"plain-tokens\":\"x\"", REFUSED},
            {",\"rate-per-s\":5,\"unit\":\"tokens\",\"plain-tokens\":-9", REFUSED},
        };
    }

    /** Guards against a malformed quota that is no limit, or a larger one. */
    @Test(dataProvider = "quotas")
    public void onlyAQuotaThatIsLeftOutOrZeroIsNoLimit(String fields, String expected) {
        assertEquals(decode(tenantWith(fields), ManifestGapsTest::quota), expected);
    }

    private static String quota(Catalog catalog) {
        Quota quota = catalog.access().holder("k").map(WorkspaceConfig::quota).orElseThrow();
        if (quota.unlimited()) {
            return "none";
        }
        String unit = quota.inTokens() ? "tokens " + quota.plainUnits() : "calls";
        return quota.perSecond() + " " + quota.burst() + " " + unit;
    }

    @DataProvider
    Object[][] regionLists() {
        return new Object[][] {
            {"", "anywhere"},
            {",\"allowed-regions\":[]", "anywhere"},
            {",\"allowed-regions\":[\"r\"]", "r"},
            {",\"allowed-regions\":null", REFUSED},
            {",\"allowed-regions\":\"\"", REFUSED},
            {",\"allowed-regions\":\"r\"", REFUSED},
            {",\"allowed-regions\":{}", REFUSED},
            {",\"allowed-regions\":[null]", REFUSED},
            {",\"allowed-regions\":[\"\"]", REFUSED},
            {",\"allowed-regions\":[7]", REFUSED},
        };
    }

    /** Guards against a malformed list that lets requests leave their regions. */
    @Test(dataProvider = "regionLists")
    public void onlyAListOfRegionsBindsARoute(String field, String expected) {
        String manifest = routeWith(",\"service\":\"s\"" + field);
        assertEquals(
                decode(manifest, it -> regions(route(it).orElseThrow().allowedRegions())),
                expected);
    }

    /** As above, for the list of a workspace. */
    @Test(dataProvider = "regionLists")
    public void onlyAListOfRegionsBindsAWorkspace(String field, String expected) {
        assertEquals(
                decode(
                        tenantWith(field),
                        it -> regions(it.access().holder("k").orElseThrow().allowedRegions())),
                expected);
    }

    private static String regions(java.util.Set<Region> regions) {
        return regions.isEmpty()
                ? "anywhere"
                : regions.stream().map(Region::value).sorted().collect(Collectors.joining(","));
    }

    @DataProvider
    Object[][] targets() {
        return new Object[][] {
            {",\"service\":\"s\"", "s=1"},
            {",\"service\":\"s\",\"backends\":[]", "s=1"},
            {",\"backends\":[{\"service\":\"p\"},{\"service\":\"q\",\"weight\":3}]", "p=1 q=3"},
            {",\"backends\":[{\"service\":\"p\",\"weight\":0},{\"service\":\"q\"}]", "p=0 q=1"},
            {"", REFUSED},
            {",\"service\":null", REFUSED},
            {",\"service\":\"\"", REFUSED},
            {",\"service\":7", REFUSED},
            {",\"backends\":[]", REFUSED},
            {",\"service\":\"s\",\"backends\":null", REFUSED},
            {",\"service\":\"s\",\"backends\":\"p\"", REFUSED},
            {",\"service\":\"s\",\"backends\":{}", REFUSED},
            {",\"service\":\"s\",\"backends\":{\"x\":{\"service\":\"p\"}}", REFUSED},
            {",\"backends\":[{\"weight\":1}]", REFUSED},
            {",\"backends\":[{\"service\":7}]", REFUSED},
            {",\"backends\":[{\"service\":\"p\",\"weight\":null}]", REFUSED},
            {",\"backends\":[{\"service\":\"p\",\"weight\":\"x\"}]", REFUSED},
            {",\"backends\":[{\"service\":\"p\",\"weight\":\"9\"}]", REFUSED},
            {",\"backends\":[{\"service\":\"p\",\"weight\":0.5}]", REFUSED},
            {",\"backends\":[{\"service\":\"p\",\"weight\":-1}]", REFUSED},
            {",\"backends\":[{\"service\":\"p\",\"weight\":0}]", REFUSED},
        };
    }

    /** Guards against a malformed split that sends requests to a service it does not name. */
    @Test(dataProvider = "targets")
    public void aRouteGoesWhereItSays(String fields, String expected) {
        assertEquals(decode(routeWith(fields), it -> shares(route(it).orElseThrow())), expected);
    }

    private static String shares(CallRoute route) {
        return route.shares().stream()
                .map(share -> share.service() + "=" + share.weight())
                .collect(Collectors.joining(" "));
    }

    @DataProvider
    Object[][] routeLists() {
        String route = "{" + ROUTE + ",\"service\":\"s\"}";
        return new Object[][] {
            {",\"routes\":[" + route + "]", "found"},
            {",\"routes\":[]", "none"},
            {"", REFUSED},
            {",\"routes\":null", REFUSED},
            {",\"routes\":\"\"", REFUSED},
            {",\"routes\":{}", REFUSED},
            {",\"routes\":{\"x\":" + route + "}", REFUSED},
            {",\"routes\":[null]", REFUSED},
            {",\"routes\":[" + route.replace("\"host\":\"h\",", "") + "]", REFUSED},
            {",\"routes\":[" + route.replace("\"host\":\"h\"", "\"host\":\"\"") + "]", REFUSED},
            {",\"routes\":[" + route.replace("\"/a/\"", "\"\"") + "]", REFUSED},
            {",\"routes\":[" + route.replace("\"/a/\"", "null") + "]", REFUSED},
        };
    }

    /** Guards against a malformed list that takes all routes away, or serves other hosts' calls. */
    @Test(dataProvider = "routeLists")
    public void onlyAListOfRoutesReplacesRoutes(String field, String expected) {
        String manifest = "{\"version\":1" + field + "}";
        assertEquals(decode(manifest, it -> route(it).isPresent() ? "found" : "none"), expected);
    }

    @DataProvider
    Object[][] limits() {
        return new Object[][] {
            {"", "4194304"},
            {",\"limits\":{}", "4194304"},
            {",\"limits\":{\"max-body-bytes\":9}", "9"},
            {",\"limits\":null", REFUSED},
            {",\"limits\":[]", REFUSED},
            {",\"limits\":\"x\"", REFUSED},
            {",\"limits\":{\"max-body-bytes\":null}", REFUSED},
            {",\"limits\":{\"max-body-bytes\":\"9\"}", REFUSED},
            {",\"limits\":{\"max-body-bytes\":\"\"}", REFUSED},
            {",\"limits\":{\"max-body-bytes\":0}", REFUSED},
            {",\"limits\":{\"max-body-bytes\":-1}", REFUSED},
            {",\"limits\":{\"max-body-bytes\":1e999}", REFUSED},
            {",\"limits\":{\"max-body-bytes\":9999999999}", REFUSED},
        };
    }

    /** Guards against a malformed limit that is replaced by a larger one. */
    @Test(dataProvider = "limits")
    public void onlyALimitThatIsLeftOutIsTheDefault(String field, String expected) {
        String manifest = "{\"version\":1,\"routes\":[]" + field + "}";
        assertEquals(decode(manifest, it -> "" + it.limits().maxBodyBytes()), expected);
    }

    @DataProvider
    Object[][] pools() {
        return new Object[][] {
            {"[]", "none"},
            {"[{\"name\":\"s\"}]", "plain 0 0.0"},
            {"[{\"name\":\"s\",\"engine\":{}}]", "engine 0 0.0"},
            {"[{\"name\":\"s\",\"engine\":{\"kv-capacity\":9}}]", "engine 9 0.0"},
            {"[{\"name\":\"s\",\"engine\":{\"kv-capacity\":9.0}}]", "engine 9 0.0"},
            {"[{\"name\":\"s\",\"warmup-per-s\":2}]", "plain 0 2.0"},
            {"null", REFUSED},
            {"{}", REFUSED},
            {"{\"x\":{\"name\":\"s\"}}", REFUSED},
            {"[{}]", REFUSED},
            {"[{\"name\":\"s\",\"engine\":null}]", REFUSED},
            {"[{\"name\":\"s\",\"engine\":[]}]", REFUSED},
            {"[{\"name\":\"s\",\"engine\":{\"kv-capacity\":null}}]", REFUSED},
            {"[{\"name\":\"s\",\"engine\":{\"kv-capacity\":\"x\"}}]", REFUSED},
            {"[{\"name\":\"s\",\"engine\":{\"kv-capacity\":-1}}]", REFUSED},
            {"[{\"name\":\"s\",\"warmup-s\":-3}]", REFUSED},
            {"[{\"name\":\"s\",\"warmup-per-s\":null}]", REFUSED},
            {"[{\"name\":\"s\",\"warmup-per-s\":\"x\"}]", REFUSED},
            {"[{\"name\":\"s\",\"warmup-per-s\":-1}]", REFUSED},
            {"[{\"name\":\"s\",\"warmup-per-s\":1e999}]", REFUSED},
        };
    }

    /** Guards against a malformed bound of a pool that is read as no bound. */
    @Test(dataProvider = "pools")
    public void onlyABoundThatIsLeftOutOrZeroIsNone(String services, String expected) {
        String manifest = "{\"version\":1,\"routes\":[],\"services\":" + services + "}";
        assertEquals(decode(manifest, ManifestGapsTest::pool), expected);
    }

    private static String pool(Catalog catalog) {
        return catalog.pools().values().stream()
                .map(
                        pool ->
                                (pool.engine() ? "engine " : "plain ")
                                        + pool.memoryTokens()
                                        + " "
                                        + pool.warmupPerSecond())
                .findFirst()
                .orElse("none");
    }
}
