/**
 * Rollouts of traffic from one version to the next: evidence, breakers, the coordinator's lease,
 * and exactly one outcome for each rollout. All are state machines without I/O, clock or threads.
 */
package org.orioleshed.rollout;
