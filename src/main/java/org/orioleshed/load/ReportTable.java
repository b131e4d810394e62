package org.orioleshed.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Prints reports as tables. */
final class ReportTable {
    private ReportTable() {}

    /** Prints one report. */
    static void print(JsonNode report, PrintStream out) {
        flatten("", report).forEach((name, value) -> out.printf("%-44s %s%n", name, value));
    }

    /** Prints two reports side by side. */
    static void compare(JsonNode left, JsonNode right, PrintStream out) {
        Map<String, String> leftRows = flatten("", left);
        Map<String, String> rightRows = flatten("", right);
        List<String> names = new ArrayList<>(leftRows.keySet());
        rightRows.keySet().stream().filter(n -> !leftRows.containsKey(n)).forEach(names::add);
        for (String name : names) {
            out.printf(
                    "%-44s %16s %16s%n",
                    name, leftRows.getOrDefault(name, "-"), rightRows.getOrDefault(name, "-"));
        }
    }

    private static Map<String, String> flatten(String prefix, JsonNode node) {
        Map<String, String> rows = new java.util.LinkedHashMap<>();
        for (Map.Entry<String, JsonNode> field : node.properties()) {
            String name = prefix + field.getKey();
            if (field.getValue().isObject()) {
                rows.putAll(flatten(name + ".", field.getValue()));
            } else if (field.getValue().isArray()) {
                rows.put(name, String.valueOf(field.getValue().size()));
            } else {
                rows.put(name, field.getValue().asText());
            }
        }
        return rows;
    }
}
