/** The platform's key-value service, seen through a port: compare-and-swap, leases and watches. */
package org.orioleshed.store;
