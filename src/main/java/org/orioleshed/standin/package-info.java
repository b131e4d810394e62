/** Stand-ins for the platform's store, the model engine and the plain service. */
package org.orioleshed.standin;
