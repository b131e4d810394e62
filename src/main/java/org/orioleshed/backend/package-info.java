/** Clients of backend servers: model engines with token streams, and plain services. */
package org.orioleshed.backend;
