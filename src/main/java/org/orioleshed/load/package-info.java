/** Load generator: workloads, experiments on a running fleet, and their reports. */
package org.orioleshed.load;
