/** Trials that compare scheduling policies on simulated engines, without clock or sockets. */
package org.orioleshed.trial;
