package org.orioleshed.trial;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

/** Draws a chart of the value share of each policy under each pattern. */
final class TrialChart {
    private static final int WIDTH = 800;
    private static final int HEIGHT = 450;

    private TrialChart() {}

    static CategoryChart of(List<TrialReport> reports) {
        CategoryChart chart =
                new CategoryChartBuilder()
                        .width(WIDTH)
                        .height(HEIGHT)
                        .title("share of the worth of all requests")
                        .xAxisTitle("pattern")
                        .yAxisTitle("worth")
                        .build();
        Map<String, List<TrialReport>> byPolicy =
                reports.stream()
                        .collect(
                                Collectors.groupingBy(
                                        TrialReport::policy,
                                        LinkedHashMap::new,
                                        Collectors.toList()));
        byPolicy.forEach(
                (policy, rows) ->
                        chart.addSeries(
                                policy,
                                rows.stream().map(row -> row.pattern().id()).toList(),
                                rows.stream().map(TrialReport::valueShare).toList()));
        return chart;
    }
}
