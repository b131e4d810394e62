/**
 * Ways to queue, place and refuse requests, compared on a model of engines without clock or
 * sockets.
 */
package org.orioleshed.trial;
