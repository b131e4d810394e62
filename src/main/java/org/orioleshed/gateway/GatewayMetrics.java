package org.orioleshed.gateway;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingTimeWindowArrayReservoir;
import java.util.concurrent.TimeUnit;
import org.orioleshed.catalog.AccessRule;
import org.orioleshed.catalog.Catalog;
import org.orioleshed.dispatch.LimitCounts;

/**
 * The metrics of a host's data path. Updated on the data thread; the gauges may be read on any
 * thread.
 */
final class GatewayMetrics {
    private static final long WINDOW_SECONDS = 60;

    /** Responses with this status or a greater one are errors. */
    private static final int FIRST_ERROR_STATUS = 400;

    private final MetricRegistry registry = new MetricRegistry();
    private final Histogram firstEventMillis = histogram("first_event_millis");
    private final Histogram answerMillis = histogram("answer_millis");
    private final Counter acceptedRequests = registry.counter("requests");
    private MetricsText text;
    private volatile int quarantined;
    private volatile int evacuatedDomains;
    private volatile long configVersion;
    private volatile boolean keysRequired;
    private volatile int pacedServers;
    private volatile long responseBytes;
    private volatile LimitCounts limitCounts = new LimitCounts(0, 0, 0);

    GatewayMetrics(LogRing log) {
        registry.gauge("log_lines_dropped", () -> log::dropped);
        registry.gauge("response_bytes", () -> () -> responseBytes);
        registry.gauge("quarantined", () -> () -> quarantined);
        registry.gauge("emptied_domains", () -> () -> evacuatedDomains);
        registry.gauge("config_version", () -> () -> configVersion);
        registry.gauge("keys_required", () -> () -> keysRequired ? 1 : 0);
        registry.gauge("paced_servers", () -> () -> pacedServers);
        registry.gauge("rate_limited_servers", () -> () -> limitCounts.limited());
        registry.gauge("cold_servers", () -> () -> limitCounts.cold());
        registry.gauge("brittle_servers", () -> () -> limitCounts.brittle());
    }

    private Histogram histogram(String name) {
        return registry.register(
                name,
                new Histogram(
                        new SlidingTimeWindowArrayReservoir(WINDOW_SECONDS, TimeUnit.SECONDS)));
    }

    /** Returns the registry, to which other parts of the process may add. */
    MetricRegistry registry() {
        return registry;
    }

    /** Returns all metrics as text; called on the data thread. */
    String write() {
        if (text == null) {
            text = new MetricsText(registry);
        }
        return text.write();
    }

    void recordAccepted() {
        acceptedRequests.inc();
    }

    /** Records a final response; {@code status} is 0 if the caller got none. */
    void recordResponse(int status) {
        registry.counter("answers." + status).inc();
    }

    /** Records the end of an exchange, see {@link #recordResponse}. */
    void recordFinished(int status, long totalMillis) {
        recordResponse(status);
        if (status > 0 && status < FIRST_ERROR_STATUS) {
            answerMillis.update(totalMillis);
        }
    }

    /** Records the time to a stream's first event. */
    void recordFirstEvent(long millis) {
        firstEventMillis.update(millis);
    }

    /** Records a connection that this host closed while no response was due on it. */
    void recordClose(CloseReason reason) {
        registry.counter("callers_closed." + reason).inc();
    }

    /** Records an internal fault. */
    void recordFault() {
        registry.counter("faults").inc();
    }

    /** Takes what the dispatcher counts now. */
    void update(Dispatcher dispatcher) {
        quarantined = dispatcher.held().size();
        pacedServers = dispatcher.pacedServers();
        limitCounts = dispatcher.limitCounts();
    }

    /** Takes the configuration in force. */
    void configChanged(Catalog catalog) {
        configVersion = catalog.version();
        keysRequired = catalog.access() instanceof AccessRule.KeyHolders;
    }

    void evacuatedDomains(int count) {
        evacuatedDomains = count;
    }

    void responseBytes(long bytes) {
        responseBytes = bytes;
    }
}
