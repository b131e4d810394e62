/** The catalog of routes, pools, workspaces and servers, as declared in the store. */
package org.orioleshed.catalog;
