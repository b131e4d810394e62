package org.orioleshed.catalog;

import java.util.Optional;
import org.orioleshed.model.ServiceId;

/** Translates what the platform's store holds of the configuration and of backend servers. */
public interface CatalogDecoder {
    /** Returns the key under which the newest configuration lies. */
    String configKey();

    /** Returns the prefix of all that operators write, the configuration included. */
    String operatorPrefix();

    /**
     * Returns the order to roll out a version of a pool that lies under {@code key}; empty where
     * the key holds something else.
     *
     * @throws BadCatalogException when it can't be read
     */
    Optional<RolloutOrder> order(String key, byte[] value, long revision)
            throws BadCatalogException;

    /** Returns the key under which the outcome of a pool's rollout is recorded. */
    String outcomeKey(ServiceId service);

    /** Returns an outcome as it is recorded. */
    byte[] encodeOutcome(RolloutOrder order, RolloutOutcome outcome);

    /**
     * Returns the recorded outcome; empty where it belongs to another order.
     *
     * @throws BadCatalogException when it can't be read
     */
    Optional<RolloutOutcome> outcome(RolloutOrder order, byte[] value) throws BadCatalogException;

    /** Returns the prefix of the keys under which servers register themselves. */
    String serversPrefix();

    /**
     * Returns the configuration in {@code value}.
     *
     * @throws BadCatalogException when it can't be read
     */
    Catalog config(byte[] value) throws BadCatalogException;

    /**
     * Returns the server that registered itself under {@code key}.
     *
     * @throws BadCatalogException when the entry names no server to use
     */
    PoolServer server(String key, byte[] value) throws BadCatalogException;
}
