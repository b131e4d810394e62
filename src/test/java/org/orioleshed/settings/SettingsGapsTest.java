package org.orioleshed.settings;

import static org.testng.Assert.assertEquals;

import java.util.stream.Collectors;
import org.orioleshed.fleet.Workspace;
import org.orioleshed.model.RouteId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of the settings of the product's own interface that decide who may call and how much: left
 * out, empty and malformed. The rows are those of docs/design/left-out-or-malformed.md.
 */
public class SettingsGapsTest {
    private static final String REFUSED = "refused";
    private static final String HASH = "\"" + "0".repeat(64) + "\"";

    /** Returns what a reading makes of a settings tree; or that the tree is refused. */
    private static String read(String text, Reading reading) {
        return switch (SettingsTree.parse(text)) {
            case SettingsTree.Result.Loaded loaded -> reading.of(loaded.tree());
            case SettingsTree.Result.Problems problems -> REFUSED;
        };
    }

    /** What a settings tree says of the matter of one test. */
    private interface Reading {
        String of(SettingsTree tree);
    }

    private static String describe(SettingsTree tree) {
        return tree.workspaces().values().stream()
                .map(SettingsGapsTest::describe)
                .collect(Collectors.joining(" ", "[", "]"));
    }

    private static String describe(Workspace workspace) {
        String tiers =
                workspace.tiers().keySet().stream()
                        .map(tier -> tier.name().substring(0, 1))
                        .sorted()
                        .collect(Collectors.joining());
        return "keys=%d tiers=%s waiting=%d tokens=%d"
                .formatted(
                        workspace.keyHashes().size(),
                        tiers,
                        workspace.maxWaiting(),
                        workspace.maxOutputTokens());
    }

    private static String withWorkspace(String fields) {
        return "{\"workspaces\":{\"items\":{\"w\":{" + fields + "}}}}";
    }

    @DataProvider
    Object[][] workspaces() {
        String closed = "[keys=0 tiers=psu waiting=200 tokens=4000]";
        return new Object[][] {
            {"{}", "[]"},
            {"{\"workspaces\":{}}", "[]"},
            {"{\"workspaces\":{\"items\":{}}}", "[]"},
            {"{\"workspaces\":null}", REFUSED},
            {"{\"workspaces\":[]}", REFUSED},
            {"{\"workspaces\":\"\"}", REFUSED},
            {"{\"workspaces\":{\"items\":null}}", REFUSED},
            {"{\"workspaces\":{\"items\":[]}}", REFUSED},
            {"{\"workspaces\":{\"items\":{\"\":{}}}}", REFUSED},
            {"{\"workspaces\":{\"items\":{\"w\":[]}}}", REFUSED},
            {withWorkspace(""), closed},
            {withWorkspace("\"keyHashes\":[]"), closed},
            {withWorkspace("\"keyHashes\":null"), closed},
            {withWorkspace("\"keyHashes\":[" + HASH + "]"), closed.replace("keys=0", "keys=1")},
            {withWorkspace("\"keyHashes\":\"\""), REFUSED},
            {withWorkspace("\"keyHashes\":{}"), REFUSED},
            {withWorkspace("\"keyHashes\":[null]"), REFUSED},
            {withWorkspace("\"keyHashes\":[\"\"]"), REFUSED},
            {withWorkspace("\"keyHashes\":[{}]"), REFUSED},
            {withWorkspace("\"tiers\":{}"), closed},
            {withWorkspace("\"tiers\":{\"patient\":{}}"), closed},
            {
                withWorkspace("\"tiers\":{\"patient\":{\"allowed\":false}}"),
                closed.replace("psu", "su")
            },
            {withWorkspace("\"tiers\":{\"patient\":{\"allowed\":\"false\"}}"), REFUSED},
            {withWorkspace("\"tiers\":{\"patient\":{\"allowed\":0}}"), REFUSED},
            {withWorkspace("\"tiers\":{\"patent\":{\"allowed\":false}}"), REFUSED},
            {withWorkspace("\"tiers\":[]"), REFUSED},
            {withWorkspace("\"maxWaiting\":null"), closed},
            {withWorkspace("\"maxWaiting\":0"), REFUSED},
            {withWorkspace("\"maxWaiting\":-1"), REFUSED},
            {withWorkspace("\"maxWaiting\":\"x\""), REFUSED},
            {withWorkspace("\"maxWaiting\":1e999"), REFUSED},
            {withWorkspace("\"maxOutputTokens\":null"), closed},
            {withWorkspace("\"maxOutputTokens\":0"), REFUSED},
            {withWorkspace("\"maxOutputTokens\":\"\""), REFUSED},
        };
    }

    /** Guards against a gap in the settings that admits callers, or more of their requests. */
    @Test(dataProvider = "workspaces")
    public void aGapInAWorkspaceAdmitsNobody(String text, String expected) {
        assertEquals(read(text, SettingsGapsTest::describe), expected);
    }

    @DataProvider
    Object[][] routes() {
        String route = "{\"routes\":{\"r\":{%s}}}";
        String call = route.formatted("\"service\":\"s\",\"calls\":{\"c\":{%s}}");
        return new Object[][] {
            {call.formatted(""), "false"},
            {call.formatted("\"repeatable\":false"), "false"},
            {call.formatted("\"repeatable\":true"), "true"},
            {call.formatted("\"repeatable\":null"), REFUSED},
            {call.formatted("\"repeatable\":\"true\""), REFUSED},
            {call.formatted("\"repeatable\":1"), REFUSED},
            {route.formatted("\"service\":\"s\""), "null"},
            {route.formatted("\"service\":\"s\",\"calls\":{}"), "null"},
            {route.formatted("\"service\":\"s\",\"calls\":[]"), REFUSED},
            {route.formatted(""), REFUSED},
            {route.formatted("\"service\":\"\""), REFUSED},
            {route.formatted("\"service\":null"), REFUSED},
            {route.formatted("\"service\":\"s\",\"model\":\"m\""), REFUSED},
        };
    }

    /** Guards against a gap in a route that sends calls elsewhere, or runs them twice. */
    @Test(dataProvider = "routes")
    public void aGapInARouteRepeatsNothing(String text, String expected) {
        assertEquals(
                read(text, tree -> "" + tree.routes().get(new RouteId("r")).calls().get("c")),
                expected);
    }

    @DataProvider
    Object[][] operators() {
        String operator = ",\"operators\":[{\"name\":\"o\",\"keyHash\":%s%s}]";
        return new Object[][] {
            {"", "[]"},
            {",\"operators\":[]", "[]"},
            {operator.formatted(HASH, ""), "[READ]"},
            {operator.formatted(HASH, ",\"role\":\"change\""), "[CHANGE]"},
            {",\"operators\":null", REFUSED},
            {",\"operators\":{}", REFUSED},
            {",\"operators\":[{}]", REFUSED},
            {operator.formatted("null", ""), REFUSED},
            {operator.formatted("\"\"", ""), REFUSED},
            {operator.formatted(HASH, ",\"role\":null"), REFUSED},
            {operator.formatted(HASH, ",\"role\":\"\""), REFUSED},
            {operator.formatted(HASH, ",\"role\":\"all\""), REFUSED},
        };
    }

    /** Guards against a gap in the list of operators that grants access to the admin API. */
    @Test(dataProvider = "operators")
    public void aGapInAnOperatorGrantsNothing(String field, String expected) {
        String text =
                "{\"host\":{\"id\":\"h\",\"domain\":\"d\"},"
                        + "\"addresses\":{\"caller\":\"127.0.0.1:1\",\"peer\":\"127.0.0.1:2\"},"
                        + "\"store\":{\"addresses\":[\"http://127.0.0.1:3\"]}"
                        + field
                        + "}";
        String roles =
                switch (EntrySettings.parse(text)) {
                    case EntrySettings.Result.Loaded loaded ->
                            loaded.settings().operators().stream()
                                    .map(Operator::role)
                                    .toList()
                                    .toString();
                    case EntrySettings.Result.Problems problems -> REFUSED;
                };
        assertEquals(roles, expected);
    }
}
