/** Client of the platform's key-value service: compare-and-swap, leases and watches. */
package org.orioleshed.store;
