/**
 * Moves of traffic from one version to the next: evidence, fuses, the mover's lease, and exactly
 * one outcome for each move. All are state machines without I/O, clock or threads.
 */
package org.orioleshed.move;
