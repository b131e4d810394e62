/**
 * The decisions of a pool's primary: which request runs next, on which server, and which requests
 * are refused.
 */
package org.orioleshed.dispatch;
