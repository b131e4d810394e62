package org.orioleshed.gateway;

import java.net.InetSocketAddress;
import java.util.random.RandomGenerator;
import org.orioleshed.catalog.CatalogSnapshot;
import org.orioleshed.dispatch.RunKey;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.ServiceId;

/** What an exchange needs of the gateway; all calls are made on the data thread. */
interface GatewayContext {
    CatalogSnapshot snapshot();

    HeaderTranslator translator();

    Dispatcher dispatcher();

    RandomGenerator random();

    FailureDomain domain();

    RunKey nextRun();

    /** Returns the connections to a server's address. */
    ServerPool pool(InetSocketAddress address);

    /** Returns the budget for second sends to a service. */
    RetryWindow retries(ServiceId service);

    /** Returns this host's part of the fixed number of second sends. */
    double fixedRetries();

    /**
     * Returns when a caller whose request could not be sent should come back, in milliseconds.
     *
     * @param leftMillis the time that it has left
     */
    long retryAfterMillis(long leftMillis);

    /** Returns what is taken while this host is about to stop. */
    LeavingRule leaving();

    void started(Exchange exchange);

    /** Returns whether this host was held up, so that what it reads now may have waited long. */
    boolean isLate();

    /** Runs a task after what waits unread on all connections. */
    void soon(Runnable task);

    /** Notes an end; {@code status} is 0 where the caller got no answer. */
    void finished(Exchange exchange, int status, long totalMillis);

    /** Notes a stream's first event. */
    void firstEvent(long millis);

    void log(String line);
}
