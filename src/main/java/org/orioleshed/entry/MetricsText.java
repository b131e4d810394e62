package org.orioleshed.entry;

import com.codahale.metrics.MetricRegistry;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;
import java.io.IOException;
import java.io.StringWriter;

/** Writes the metrics in Prometheus' text format. */
final class MetricsText {
    private final CollectorRegistry registry = new CollectorRegistry();

    MetricsText(MetricRegistry metrics) {
        registry.register(new DropwizardExports(metrics));
    }

    String write() throws IOException {
        StringWriter text = new StringWriter();
        TextFormat.write004(text, registry.metricFamilySamples());
        return text.toString();
    }
}
