package org.orioleshed.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Prints responses of the admin API as text, or as JSON. */
final class AdminPrinter {
    private static final String GAP = "  ";

    private final PrintStream out;
    private final PrintStream err;
    private final boolean json;

    AdminPrinter(PrintStream out, PrintStream err, boolean json) {
        this.out = out;
        this.err = err;
        this.json = json;
    }

    /** Prints a response and returns its exit code. */
    ExitCode print(AdminClient.Response response) {
        JsonNode body = response.body();
        if (json) {
            out.println(body);
        } else if (body.has("error")) {
            error(body.get("error"));
        } else if (body.has("rows")) {
            table(body);
        } else if (body.has("notices")) {
            notices(body.get("notices"));
        } else if (body.has("value")) {
            out.println(pretty(body.get("value")));
        } else {
            accepted(body);
        }
        return ExitCode.of(response.status());
    }

    private void error(JsonNode error) {
        err.println("error: " + error.path("message").asText(error.path("code").asText()));
        for (JsonNode problem : error.path("problems")) {
            String nearest =
                    problem.has("nearest")
                            ? "; did you mean " + problem.get("nearest").asText() + "?"
                            : "";
            err.println(
                    GAP
                            + problem.path("path").asText()
                            + ": "
                            + problem.path("reason").asText()
                            + nearest);
        }
        if (error.has("difference")) {
            err.println("revision in force: " + error.path("revision").asText());
            err.println(error.get("difference").asText());
        }
    }

    private void accepted(JsonNode body) {
        List<String> words = new ArrayList<>();
        for (String name : List.of("id", "revision", "detail")) {
            String value = body.path(name).asText("");
            if (!value.isEmpty()) {
                words.add(name + "=" + value);
            }
        }
        out.println("done " + String.join(" ", words));
    }

    private void notices(JsonNode notices) {
        for (JsonNode notice : notices) {
            out.println(
                    notice.path("epochMillis").asText()
                            + GAP
                            + notice.path("move").asText()
                            + GAP
                            + notice.path("kind").asText()
                            + GAP
                            + notice.path("detail").asText());
        }
    }

    private void table(JsonNode body) {
        List<List<String>> lines = new ArrayList<>();
        lines.add(texts(body.path("columns")));
        body.path("rows").forEach(row -> lines.add(texts(row)));
        int[] widths = new int[lines.get(0).size()];
        for (List<String> line : lines) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(widths[i], line.get(i).length());
            }
        }
        lines.forEach(line -> out.println(align(line, widths)));
    }

    private static String align(List<String> line, int[] widths) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < widths.length; i++) {
            text.append(line.get(i));
            text.append(" ".repeat(widths[i] - line.get(i).length()));
            text.append(GAP);
        }
        return text.toString().stripTrailing();
    }

    private static List<String> texts(JsonNode values) {
        List<String> texts = new ArrayList<>();
        values.forEach(value -> texts.add(value.asText()));
        return texts;
    }

    private static String pretty(JsonNode value) {
        try {
            return AdminJson.MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write JSON tree", e);
        }
    }
}
