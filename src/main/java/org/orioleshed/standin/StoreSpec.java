package org.orioleshed.standin;

/**
 * The stand-in store.
 *
 * @param port the loopback port
 * @param writesPerSecond the rate of writes above which calls are refused
 * @param readsPerSecond the rate of reads above which calls are refused
 */
public record StoreSpec(int port, int writesPerSecond, int readsPerSecond) {}
