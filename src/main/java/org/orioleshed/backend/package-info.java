/** Clients of backend servers: model engines with their streams, and plain services. */
package org.orioleshed.backend;
