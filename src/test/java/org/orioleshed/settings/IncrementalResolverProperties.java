package org.orioleshed.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertSame;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.statistics.Statistics;
import org.orioleshed.model.Payload;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.WorkspaceId;

/**
 * Guards against incremental resolution giving another result than complete resolution, which is
 * the reference.
 */
class IncrementalResolverProperties {
    private static final int MAX_EDITS = 4;
    private static final int CHANGES_PER_TRY = 25;
    private static final List<String> BRANCH_NAMES = List.of("a", "b", "");
    private static final List<String> ITEM_NAMES = List.of("one", "two", "three", "four", "five");
    private static final List<String> TIERS = List.of("urgent", "standard", "patient", "none");

    private static final List<String> WORKSPACE_FIELDS =
            List.of("weight", "defaultTier", "tiers", "patience", "keyHashes", "maxWaiting");

    private static final List<String> SERVER_FIELDS =
            List.of("domain", "address", "model", "service", "version", "places", "typo");

    @Property(seed = "41", tries = 600)
    void matchesCompleteResolutionAfterEachChange(@ForAll long seed) {
        Random random = new Random(seed);
        ObjectNode before = sampleDocument();
        SettingsTree beforeTree = resolve(before).orElseThrow();
        for (int i = 0; i < CHANGES_PER_TRY; i++) {
            List<Problem> problems = new ArrayList<>();
            String text = before.toString();
            List<SettingsEdit> edits = edits(random);
            ObjectNode after = TreeEdits.applyAll(before, edits, problems);
            assertEquals(before.toString(), text, "an edit modified the previous document");
            Optional<SettingsTree> expected = resolve(after);
            ObjectNode input = random.nextBoolean() ? after : parse(after.toString());
            Optional<SettingsTree> found =
                    new IncrementalResolver(before, beforeTree, input).resolve();
            assertEquals(found, expected, before + ", edits " + edits);
            Statistics.label("valid").collect(expected.isPresent());
            if (expected.isPresent()) {
                before = input;
                beforeTree = found.orElseThrow();
            }
        }
    }

    @Property(seed = "42", tries = 200)
    void reportsSameProblemsAsCompleteCheck(@ForAll long seed) {
        Random random = new Random(seed);
        SettingsDocument before = document(sampleDocument().toString());
        SettingsTree beforeTree = ((SettingsTree.Result.Loaded) before.check()).tree();
        for (int i = 0; i < CHANGES_PER_TRY; i++) {
            SettingsChange change = new SettingsChange(2, "c", "litia", "test", 0, edits(random));
            if (before.with(change) instanceof SettingsDocument.Result.Read after) {
                SettingsTree.Result expected = after.document().check();
                assertEquals(after.document().checkAfter(before, beforeTree), expected);
            }
        }
    }

    @Example
    void resolvesOnlyChangedBranch() {
        ObjectNode before = parse(LargeTree.text(200, 40));
        SettingsTree beforeTree = resolve(before).orElseThrow();
        ObjectNode after =
                TreeEdits.applyAll(
                        before,
                        List.of(
                                SettingsEdit.set(
                                        "/workspaces/branches/branch-3/defaults/weight", "9")),
                        new ArrayList<>());
        ObjectNode difference = IncrementalResolver.difference(after, before);
        assertEquals(difference.at("/workspaces/branches").size(), 1);
        assertEquals(difference.at("/workspaces/branches/branch-3/items").size(), 10);
        assertEquals(difference.at("/servers/items").size(), 0);
        SettingsTree found =
                new IncrementalResolver(before, beforeTree, after).resolve().orElseThrow();
        for (int i = 0; i < 200; i++) {
            WorkspaceId id = new WorkspaceId("workspace-" + i);
            if (i % 20 == 3) {
                assertEquals(found.workspaces().get(id).weight(), 9);
            } else {
                assertSame(found.workspaces().get(id), beforeTree.workspaces().get(id));
            }
        }
        for (int i = 0; i < 40; i++) {
            ServerId id = new ServerId("server-" + i);
            assertSame(found.servers().get(id), beforeTree.servers().get(id));
        }
    }

    @Example
    void changedItemSharesEqualValuesWithOthers() {
        ObjectNode before = parse(LargeTree.text(200, 40));
        SettingsTree beforeTree = resolve(before).orElseThrow();
        ObjectNode after =
                TreeEdits.applyAll(
                        before,
                        List.of(
                                SettingsEdit.set(
                                        "/workspaces/branches/branch-3/items/workspace-3/weight",
                                        "9")),
                        new ArrayList<>());
        SettingsTree found =
                new IncrementalResolver(before, beforeTree, after).resolve().orElseThrow();
        WorkspaceId changed = new WorkspaceId("workspace-3");
        WorkspaceId other = new WorkspaceId("workspace-23");
        assertEquals(found.workspaces().get(changed).weight(), 9);
        assertSame(found.workspaces().get(changed).tiers(), found.workspaces().get(other).tiers());
        assertSame(
                found.workspaces().get(changed).patience(),
                found.workspaces().get(other).patience());
    }

    private static Optional<SettingsTree> resolve(ObjectNode document) {
        return SettingsTree.of(document) instanceof SettingsTree.Result.Loaded loaded
                ? Optional.of(loaded.tree())
                : Optional.empty();
    }

    private static ObjectNode parse(String text) {
        return JsonText.parseObject(text, new ArrayList<>());
    }

    private static SettingsDocument document(String text) {
        return ((SettingsDocument.Result.Read) SettingsDocument.decode(Payload.of(text)))
                .document();
    }

    private static ObjectNode sampleDocument() {
        return parse(SampleTree.TEXT);
    }

    private static List<SettingsEdit> edits(Random random) {
        List<SettingsEdit> edits = new ArrayList<>();
        for (int i = random.nextInt(MAX_EDITS); i >= 0; i--) {
            boolean servers = random.nextBoolean();
            switch (random.nextInt(12)) {
                case 0 -> edits.add(sectionEdit(random));
                case 1 -> edits.add(SettingsEdit.unset(branchPath(random, servers)));
                case 2 -> edits.add(SettingsEdit.unset(itemPath(random, servers)));
                case 3 -> edits.add(SettingsEdit.set(branchPath(random, servers), "{}"));
                case 4 -> edits.add(SettingsEdit.set(itemPath(random, servers), "null"));
                case 5, 6 ->
                        edits.add(
                                fieldEdit(
                                        random,
                                        branchPath(random, servers) + "/defaults",
                                        servers));
                case 7 ->
                        edits.add(
                                SettingsEdit.set(
                                        itemPath(random, servers), itemJson(random, servers)));
                default -> edits.add(fieldEdit(random, itemPath(random, servers), servers));
            }
        }
        return edits;
    }

    private static SettingsEdit sectionEdit(Random random) {
        return switch (random.nextInt(10)) {
            case 0 -> SettingsEdit.set("/tiers/patient/rank", "" + random.nextInt(4));
            case 1 -> SettingsEdit.set("/tiers/urgent/deadlineMillis", "" + random.nextInt(4));
            case 2 -> SettingsEdit.unset("/tiers/patient");
            case 3 -> SettingsEdit.set("/limits/moveSpreadMillis", "" + random.nextInt(200));
            case 4 ->
                    SettingsEdit.set("/currentVersions/gangway", "\"v" + random.nextInt(3) + "\"");
            case 5 -> SettingsEdit.set("/routes/new", "{\"model\":\"m\"}");
            case 6 -> SettingsEdit.unset("/routes/gangway");
            case 7 -> SettingsEdit.unset("/servers");
            case 8 -> SettingsEdit.set("/workspaces", "{}");
            default -> SettingsEdit.set("/workspaces/typo", "{}");
        };
    }

    private static String branchPath(Random random, boolean servers) {
        StringBuilder path = new StringBuilder(servers ? "/servers" : "/workspaces");
        String sample = servers ? "suva-a" : "association";
        for (int depth = random.nextInt(3); depth > 0; depth--) {
            int choice = random.nextInt(8);
            path.append("/branches/");
            path.append(choice < 4 ? sample : choice < 6 ? "a" : BRANCH_NAMES.get(choice % 3));
        }
        return path.toString();
    }

    private static String itemPath(Random random, boolean servers) {
        List<String> known =
                servers ? List.of("suva-a-1", "suva-a-2") : List.of("stewards", "clerks");
        String name =
                random.nextBoolean()
                        ? known.get(random.nextInt(known.size()))
                        : ITEM_NAMES.get(random.nextInt(ITEM_NAMES.size()));
        return branchPath(random, servers) + "/items/" + name;
    }

    private static SettingsEdit fieldEdit(Random random, String parentPath, boolean servers) {
        List<String> fields = servers ? SERVER_FIELDS : WORKSPACE_FIELDS;
        String field = fields.get(random.nextInt(fields.size()));
        String path = parentPath + "/" + field;
        if (random.nextInt(5) == 0) {
            return SettingsEdit.unset(path);
        }
        String json = random.nextInt(8) == 0 ? "null" : fieldJson(random, field);
        return SettingsEdit.set(path, json);
    }

    private static String itemJson(Random random, boolean servers) {
        return servers
                ? "{\"domain\":\"d\",\"address\":\"http://127.0.0.1:9\",\"model\":\"m\","
                        + "\"version\":\"v"
                        + random.nextInt(3)
                        + "\"}"
                : "{\"weight\":" + (1 + random.nextInt(3)) + "}";
    }

    private static String fieldJson(Random random, String field) {
        return switch (field) {
            case "weight", "maxWaiting", "places" -> "" + random.nextInt(12);
            case "defaultTier" -> "\"" + TIERS.get(random.nextInt(TIERS.size())) + "\"";
            case "tiers" -> {
                String tier = TIERS.get(random.nextInt(TIERS.size()));
                yield "{\"" + tier + "\":{\"allowed\":" + random.nextBoolean() + "}}";
            }
            case "patience" -> "{\"start\":\"20:00\",\"end\":\"06:00\",\"zone\":\"UTC\"}";
            case "keyHashes" ->
                    "[\"" + "abc".substring(random.nextInt(3)).repeat(64).substring(0, 64) + "\"]";
            case "address" -> "\"http://127.0.0.1:" + random.nextInt(9) + "\"";
            default -> "\"v" + random.nextInt(3) + "\"";
        };
    }
}
