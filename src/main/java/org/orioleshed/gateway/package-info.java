/** The data path between callers and backend servers, shared with peer hosts. */
package org.orioleshed.gateway;
