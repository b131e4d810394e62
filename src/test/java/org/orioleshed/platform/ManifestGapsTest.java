package org.orioleshed.platform;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.orioleshed.catalog.BadCatalogException;
import org.orioleshed.catalog.CallRoute;
import org.orioleshed.catalog.Catalog;
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
}
