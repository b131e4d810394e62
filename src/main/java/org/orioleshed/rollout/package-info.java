/**
 * Gradual rollouts of traffic from one version to the next: evidence, circuit breakers, the
 * coordinator's lease, and exactly one outcome per rollout. All classes are free of I/O, clocks and
 * threads.
 */
package org.orioleshed.rollout;
