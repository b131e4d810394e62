package org.orioleshed.standin;

/**
 * The configuration of a stand-in plain service.
 *
 * @param id the backend server's id
 * @param port the loopback port
 * @param callMillis the duration of a call, in milliseconds
 */
public record ServiceSpec(String id, int port, int callMillis) {}
