/**
 * The decisions of a backend server's owner: who waits, who runs, who yields. All are state
 * machines without I/O, clock or threads.
 */
package org.orioleshed.routing;
