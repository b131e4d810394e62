package org.orioleshed.gateway;

import com.codahale.metrics.MetricRegistry;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;

/** Formats metrics in the Prometheus text format. */
public final class MetricsText {
    private final CollectorRegistry registry = new CollectorRegistry();

    /** Creates a formatter for the metrics of a registry. */
    public MetricsText(MetricRegistry metrics) {
        registry.register(new DropwizardExports(metrics));
    }

    /** Returns the current values of all metrics. */
    public String write() {
        StringWriter text = new StringWriter();
        try {
            TextFormat.write004(text, registry.metricFamilySamples());
        } catch (IOException e) {
            throw new UncheckedIOException("unexpected failure of a StringWriter", e);
        }
        return text.toString();
    }
}
