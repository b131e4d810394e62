package org.orioleshed.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Reads and writes report files. */
final class ReportFiles {
    private ReportFiles() {}

    /** Writes a report as JSON; does nothing if {@code file} is null. */
    static void write(JsonNode report, String file) throws IOException {
        if (file != null) {
            Json.MAPPER.writerWithDefaultPrettyPrinter().writeValue(Path.of(file).toFile(), report);
        }
    }

    /** Writes the results as JSON Lines; does nothing if {@code file} is null. */
    static void writeLines(List<Result> results, String file) throws IOException {
        if (file == null) {
            return;
        }
        List<String> lines = new ArrayList<>();
        for (Result result : results) {
            lines.add(Json.MAPPER.writeValueAsString(result));
        }
        Files.write(Path.of(file), lines);
    }

    static JsonNode read(String file) throws IOException {
        return Json.MAPPER.readTree(Path.of(file).toFile());
    }
}
