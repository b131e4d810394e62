/**
 * The decisions of one entry host as a single state machine that turns events and the current time
 * into actions. Adapters supply sockets, HTTP and the store.
 */
package org.orioleshed.host;
