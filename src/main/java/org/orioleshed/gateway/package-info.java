/** The data path: callers in front, backend servers behind, and the peers that share the work. */
package org.orioleshed.gateway;
