/**
 * The decisions of one entry host, put together: events in, actions out, time given. Adapters
 * around it bring sockets, HTTP and the store.
 */
package org.orioleshed.host;
