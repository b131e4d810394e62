package org.orioleshed.catalog;

import java.util.Optional;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.ServiceId;
import org.orioleshed.store.StoreRevision;

/** Decodes the store's entries of operators and backend servers. */
public interface CatalogDecoder {
    /** Returns the key of the current configuration. */
    String configKey();

    /** Returns the key prefix of all entries that operators write, including the configuration. */
    String operatorPrefix();

    /**
     * Decodes a rollout order; empty if {@code key} belongs to another kind of entry.
     *
     * @param revision the store's revision of the entry
     * @throws BadCatalogException if the order is malformed
     */
    Optional<RolloutOrder> order(String key, byte[] value, StoreRevision revision)
            throws BadCatalogException;

    /**
     * Returns the failure domain that the presence of a key evacuates, whatever its value; empty if
     * {@code key} belongs to another kind of entry.
     */
    Optional<FailureDomain> evacuated(String key);

    /** Returns the key of the recorded outcome of a pool's rollout. */
    String outcomeKey(ServiceId service);

    /** Encodes an outcome for the store. */
    byte[] encodeOutcome(RolloutOrder order, RolloutOutcome outcome);

    /**
     * Decodes a recorded outcome; empty if it belongs to another order.
     *
     * @throws BadCatalogException if the outcome is malformed
     */
    Optional<RolloutOutcome> outcome(RolloutOrder order, byte[] value) throws BadCatalogException;

    /** Returns the key prefix of the entries with which servers register. */
    String serversPrefix();

    /**
     * Decodes a configuration.
     *
     * @throws BadCatalogException if the configuration is malformed
     */
    Catalog config(byte[] value) throws BadCatalogException;

    /**
     * Decodes a server's entry.
     *
     * @throws BadCatalogException if the entry describes no usable server
     */
    PoolServer server(String key, byte[] value) throws BadCatalogException;
}
