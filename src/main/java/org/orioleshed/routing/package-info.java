/**
 * Request routing: the choice of backend servers on the accepting host, and the queueing, admission
 * and preemption of runs on each server's owner. All classes are free of I/O, clocks and threads.
 */
package org.orioleshed.routing;
