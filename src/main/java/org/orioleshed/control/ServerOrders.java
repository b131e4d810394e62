package org.orioleshed.control;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.model.VersionId;
import org.orioleshed.rollout.ServerOrder;

/** A port to backend servers that take orders. Futures never fail. */
public interface ServerOrders {
    /**
     * Gives an order.
     *
     * @param fence the fencing number of whoever gives it
     * @return whether the server took it; false also when that can't be told
     */
    CompletableFuture<Boolean> order(BackendServer server, ServerOrder order, long fence);

    /** Reads which version a server runs; empty when it can't be told. */
    CompletableFuture<Optional<VersionId>> version(BackendServer server);
}
