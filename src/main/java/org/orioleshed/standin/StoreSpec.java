package org.orioleshed.standin;

/**
 * The configuration of the stand-in store.
 *
 * @param port the loopback port
 * @param writesPerSecond the maximum rate of writes; further writes are refused
 * @param readsPerSecond the maximum rate of reads; further reads are refused
 */
public record StoreSpec(int port, int writesPerSecond, int readsPerSecond) {}
