/**
 * The process of an entry host: its threads, the rings between them, and the HTTP that callers see.
 */
package org.orioleshed.entry;
