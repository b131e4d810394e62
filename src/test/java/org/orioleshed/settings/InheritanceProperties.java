package org.orioleshed.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.orioleshed.settings.FieldType.Group;
import org.orioleshed.settings.FieldType.IntegerRange;
import org.orioleshed.settings.FieldType.TreeOf;

/**
 * Guards against items that resolve to other values than a lookup that searches the tree for each
 * value.
 */
class InheritanceProperties {
    private static final List<String> FIELDS = List.of("a", "b", "c");
    private static final int MAX_DEPTH = 4;
    private static final TreeOf TYPE = new TreeOf("item", group());

    private int itemCount;

    private static Group group() {
        List<Field> fields = new ArrayList<>();
        FIELDS.forEach(
                name -> fields.add(Field.optional(name, new IntegerRange(0, 9), "A number.")));
        return new Group(fields);
    }

    @Property(seed = "1", tries = 500)
    void resolvedItemsMatchNaiveLookup(@ForAll long seed) {
        itemCount = 0;
        ObjectNode tree = tree(new Random(seed), 0);
        List<Problem> problems = new ArrayList<>();
        List<Inheritance.ResolvedItem> resolved = Inheritance.resolve(TYPE, tree, "", problems);
        assertTrue(problems.isEmpty());
        assertEquals(resolved.size(), itemCount);
        for (Inheritance.ResolvedItem item : resolved) {
            for (String field : FIELDS) {
                Optional<JsonNode> found = Optional.ofNullable(item.values().get(field));
                assertEquals(found, NaiveResolver.lookup(tree, item.id(), field), tree.toString());
            }
        }
    }

    private ObjectNode tree(Random random, int depth) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.set("defaults", values(random));
        ObjectNode items = node.putObject("items");
        for (int i = random.nextInt(3); i > 0; i--) {
            items.set("item-" + itemCount++, values(random));
        }
        ObjectNode branches = node.putObject("branches");
        for (int i = depth < MAX_DEPTH ? random.nextInt(3) : 0; i > 0; i--) {
            branches.set("branch-" + i, tree(random, depth + 1));
        }
        return node;
    }

    private static ObjectNode values(Random random) {
        ObjectNode values = JsonNodeFactory.instance.objectNode();
        for (String field : FIELDS) {
            switch (random.nextInt(4)) {
                case 0 -> values.put(field, random.nextInt(10));
                case 1 -> values.putNull(field);
                default -> {}
            }
        }
        return values;
    }
}
