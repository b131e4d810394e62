/** What operators and backend servers declare: routes, pools, workspaces, servers. */
package org.orioleshed.catalog;
