/**
 * HTTP as hosts read it: the syntax that a response must have before anything in it is believed, a
 * decoder that checks it, and a client for the product's own interface.
 */
package org.orioleshed.http;
