package org.orioleshed.catalog;

/** Translates what the platform's store holds of the configuration and of backend servers. */
public interface CatalogDecoder {
    /** Returns the key under which the newest configuration lies. */
    String configKey();

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
