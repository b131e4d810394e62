/**
 * The process of an entry host: its threads, the ring buffers between them, and the HTTP interface
 * for callers.
 */
package org.orioleshed.entry;
