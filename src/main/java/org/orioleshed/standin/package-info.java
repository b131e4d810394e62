/**
 * Stand-ins for the platform's store, model engines and plain services, for tests and load runs.
 */
package org.orioleshed.standin;
