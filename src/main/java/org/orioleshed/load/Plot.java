package org.orioleshed.load;

import com.fasterxml.jackson.databind.JsonNode;
import de.erichseifert.vectorgraphics2d.VectorGraphics2D;
import de.erichseifert.vectorgraphics2d.intermediate.CommandSequence;
import de.erichseifert.vectorgraphics2d.svg.SVGProcessor;
import de.erichseifert.vectorgraphics2d.util.PageSize;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

/** Draws bar charts of reports as SVG. */
final class Plot {
    private static final int WIDTH = 800;
    private static final int HEIGHT = 450;

    private Plot() {}

    /** Draws the values of a per-tier field, with one series for each report. */
    static void write(List<JsonNode> reports, String field, Path file) throws IOException {
        CategoryChart chart =
                new CategoryChartBuilder()
                        .width(WIDTH)
                        .height(HEIGHT)
                        .title(field)
                        .xAxisTitle("tier")
                        .yAxisTitle(field)
                        .build();
        values(reports, field).forEach((name, row) -> chart.addSeries(name, Report.TIERS, row));
        write(chart, file);
    }

    /** Draws a chart. */
    static void write(CategoryChart chart, Path file) throws IOException {
        VectorGraphics2D graphics = new VectorGraphics2D();
        chart.paint(graphics, WIDTH, HEIGHT);
        CommandSequence commands = graphics.getCommands();
        try (OutputStream out = Files.newOutputStream(file)) {
            new SVGProcessor()
                    .getDocument(commands, new PageSize(0, 0, WIDTH, HEIGHT))
                    .writeTo(out);
        }
    }

    /**
     * Returns the field's values in the order of {@link Report#TIERS}, by the name of the report.
     */
    static Map<String, List<Double>> values(List<JsonNode> reports, String field) {
        Map<String, List<Double>> values = new LinkedHashMap<>();
        for (JsonNode report : reports) {
            JsonNode byTier = report.path(field);
            if (!byTier.isObject()) {
                throw new IllegalArgumentException(
                        "report field " + field + " has no values by tier");
            }
            List<Double> row =
                    Report.TIERS.stream().map(tier -> byTier.path(tier).asDouble()).toList();
            values.put(name(report), row);
        }
        return values;
    }

    private static String name(JsonNode report) {
        return String.format(
                "%s %s %s",
                report.path("scenario").asText(),
                report.path("policy").asText(),
                report.path("seed").asText());
    }
}
