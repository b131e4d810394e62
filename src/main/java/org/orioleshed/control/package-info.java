/**
 * The control duty of an entry host: maintains its fleet snapshot from membership, settings, the
 * platform's lists and rollouts, on a single thread that makes all store calls for them.
 */
package org.orioleshed.control;
