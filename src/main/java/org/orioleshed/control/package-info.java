/**
 * The duty that keeps one entry host's picture of the fleet: membership, settings, the platform's
 * lists and moves, on one thread that alone talks to the store about them.
 */
package org.orioleshed.control;
