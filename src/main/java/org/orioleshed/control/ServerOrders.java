package org.orioleshed.control;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.model.VersionId;
import org.orioleshed.rollout.ServerOrder;

/** Sends orders to backend servers. Futures never complete exceptionally. */
public interface ServerOrders {
    /**
     * Sends an order.
     *
     * @param fence the sender's fencing number
     * @return whether the server accepted the order; also false if unknown
     */
    CompletableFuture<Boolean> order(BackendServer server, ServerOrder order, long fence);

    /** Reads the version that a server runs; empty if unknown. */
    CompletableFuture<Optional<VersionId>> version(BackendServer server);
}
