package org.orioleshed.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.fleet.Workspace;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.Tier;
import org.orioleshed.model.VersionId;
import org.orioleshed.model.WorkspaceId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link SettingsTree}. */
public class SettingsTreeTest {
    static SettingsTree tree(String text) {
        return ((SettingsTree.Result.Loaded) SettingsTree.parse(text)).tree();
    }

    static List<Problem> problems(String text) {
        return ((SettingsTree.Result.Problems) SettingsTree.parse(text)).problems();
    }

    @Test
    public void itemOverridesBranchAndBranchOverridesParent() {
        SettingsTree tree = tree(SampleTree.TEXT);
        assertEquals(tree.servers().get(new ServerId("suva-a-1")).slots(), 4);
        assertEquals(tree.servers().get(new ServerId("suva-a-2")).slots(), 2);
        assertEquals(tree.servers().get(new ServerId("suva-a-1")).generation(), "g1");
        Workspace clerks = tree.workspaces().get(new WorkspaceId("clerks"));
        assertEquals(clerks.weight(), 5);
        assertEquals(clerks.maxWaiting(), 50);
        assertEquals(clerks.maxOutputTokens(), 4000);
        assertTrue(clerks.patience().isPresent());
    }

    @Test
    public void nullRemovesInheritedValue() {
        Workspace stewards = tree(SampleTree.TEXT).workspaces().get(new WorkspaceId("stewards"));
        assertEquals(stewards.patience(), Optional.empty());
    }

    @Test
    public void workspaceInheritsFleetTiersWithOverrides() {
        SettingsTree tree = tree(SampleTree.TEXT);
        Workspace clerks = tree.workspaces().get(new WorkspaceId("clerks"));
        assertEquals(clerks.tiers(), Map.of(Tier.URGENT, 10_000L, Tier.STANDARD, 86_400_000L));
        assertEquals(clerks.defaultTier(), Tier.STANDARD);
    }

    @Test
    public void snapshotAppliesLeavingMarksAndRolledOutVersions() {
        ServerId marked = new ServerId("suva-a-1");
        RouteId route = new RouteId("gangway");
        FleetSnapshot fleet =
                tree(SampleTree.TEXT)
                        .fleet(
                                7,
                                Map.of(),
                                Map.of(marked, true),
                                Map.of(),
                                Map.of(route, new VersionId("v2")));
        assertTrue(fleet.servers().get(marked).leaving());
        assertFalse(fleet.servers().get(new ServerId("suva-a-2")).leaving());
        assertEquals(fleet.currentVersions().get(route), new VersionId("v2"));
        assertEquals(fleet.settingsRevision(), 7);
    }

    @DataProvider
    Object[][] invalidTrees() {
        return new Object[][] {
            {"{\"tears\":{}}", "/tears", "tiers"},
            {"{\"tiers\":{\"urgent\":{\"rank\":-1}}}", "/tiers/urgent/rank", ""},
            {"{\"tiers\":{\"a\":{\"rank\":1},\"b\":{\"rank\":1}}}", "/tiers/b/rank", ""},
            {"{\"routes\":{\"r\":{}}}", "/routes/r", ""},
            {"{\"routes\":{\"r\":{\"model\":\"m\",\"service\":\"s\"}}}", "/routes/r", ""},
            {
                "{\"workspaces\":{\"items\":{\"w\":{\"wieght\":2}}}}",
                "/workspaces/items/w/wieght",
                "weight"
            },
            {
                "{\"workspaces\":{\"items\":{\"w\":{\"defaultTier\":\"urgnt\"}}}}",
                "/workspaces/items/w/defaultTier",
                "urgent"
            },
            {
                "{\"workspaces\":{\"itmes\":{}}}", "/workspaces/itmes", "items",
            },
            {
                "{\"workspaces\":{\"items\":{\"w\":{\"patience\":{\"start\":\"20:00\","
                        + "\"end\":\"25:00\",\"zone\":\"UTC\"}}}}}",
                "/workspaces/items/w/patience/end",
                ""
            },
            {
                "{\"workspaces\":{\"items\":{\"w\":{}},\"branches\":{\"b\":{\"items\":{\"w\":{}}}}}}",
                "/workspaces/items/w",
                ""
            },
            {"{\"currentVersions\":{\"gangway\":\"v1\"}}", "/currentVersions/gangway", ""},
            {"{\"limits\":{\"moveSoakFraction\":2}}", "/limits/moveSoakFraction", ""},
            {"{\"limits\":{\"moveShares\":[0.2,0.1]}}", "/limits/moveShares", ""},
            {"[]", "", ""},
            {"{\"tiers\":{},\"tiers\":{}}", "", ""},
            {"{", "", ""},
        };
    }

    @Test(dataProvider = "invalidTrees")
    public void reportsPathAndNearestName(String text, String path, String nearest) {
        List<Problem> problems = problems(text);
        assertEquals(problems.size(), 1, problems.toString());
        assertEquals(problems.get(0).path(), path);
        assertEquals(problems.get(0).nearest().orElse(""), nearest);
        assertFalse(problems.get(0).allowed().isBlank());
    }

    @Test
    public void reportsAllMissingFieldsOfServer() {
        List<Problem> problems = problems("{\"servers\":{\"items\":{\"s\":{}}}}");
        assertEquals(
                problems.stream().map(Problem::path).toList(),
                List.of(
                        "/servers/items/s/domain",
                        "/servers/items/s/address",
                        "/servers/items/s/version",
                        "/servers/items/s"));
    }

    @Test
    public void nullRestoresSchemaDefault() {
        SettingsTree tree =
                tree(
                        """
                        {"workspaces": {"defaults": {"weight": 7, "defaultTier": "patient"},
                                        "items": {"w": {"weight": null, "defaultTier": null}}},
                         "servers": {"defaults": {"places": 3},
                                     "items": {"s": {"domain": "d", "model": "m", "version": "v",
                                                     "address": "http://127.0.0.1:9001",
                                                     "places": null}}}}
                        """);
        Workspace workspace = tree.workspaces().get(new WorkspaceId("w"));
        assertEquals(workspace.weight(), 1);
        assertEquals(workspace.defaultTier(), Tier.STANDARD);
        assertEquals(tree.servers().get(new ServerId("s")).slots(), 8);
    }

    @Test
    public void nullDeadlineKeepsTierDeadline() {
        SettingsTree tree =
                tree(
                        """
                        {"workspaces": {"items": {"w": {"tiers": {"urgent":
                                                            {"deadlineMillis": null}}}}}}
                        """);
        Workspace workspace = tree.workspaces().get(new WorkspaceId("w"));
        assertEquals(workspace.tiers().get(Tier.URGENT), Long.valueOf(86_400_000));
    }
}
