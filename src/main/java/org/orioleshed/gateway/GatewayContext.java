package org.orioleshed.gateway;

import java.net.InetSocketAddress;
import java.util.random.RandomGenerator;
import org.orioleshed.catalog.CatalogSnapshot;
import org.orioleshed.dispatch.RunKey;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.ServiceId;

/** The gateway as seen by an exchange; all methods are called on the data thread. */
interface GatewayContext {
    CatalogSnapshot snapshot();

    HeaderTranslator translator();

    Dispatcher dispatcher();

    Forwarding forwarding();

    /** Returns the bound on what is kept of servers' responses. */
    ResponseBudget<ServerAttempt> responses();

    RandomGenerator random();

    FailureDomain domain();

    /** Returns the rule for requests that only some regions may serve. */
    RegionRule regionRule();

    RunKey nextRun();

    /** Returns the connection pool of a server's address. */
    ServerConnectionPool pool(InetSocketAddress address);

    /** Returns the retry budget of a service. */
    RetryBudget retryBudget(ServiceId service);

    /** Returns when the servers of a pool last sent something. */
    PoolActivity poolActivity(ServiceId service);

    /** Returns this host's share of the fixed number of retries. */
    double fixedRetryShare();

    /**
     * Returns when a caller whose request could not be sent should retry, in milliseconds.
     *
     * @param leftMillis the time left until the caller's deadline, in milliseconds
     */
    long retryAfterMillis(long leftMillis);

    /** Returns the policy for requests while this host is stopping. */
    ShutdownPolicy shutdownPolicy();

    void started(Exchange exchange);

    /** Returns whether the end of a connection may have waited unread for long. */
    boolean isLate();

    /** Runs a task after the event loop handled the channels that are ready now. */
    void runLater(Runnable task);

    /** Records the end of an exchange; {@code status} is 0 if the caller got no response. */
    void finished(Exchange exchange, int status, long totalMillis);

    /** Records the time to a stream's first event. */
    void firstEvent(long millis);

    void log(String line);
}
