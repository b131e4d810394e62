/** Finds what in requests crashes the servers that run them, and quarantines it. */
package org.orioleshed.quarantine;
