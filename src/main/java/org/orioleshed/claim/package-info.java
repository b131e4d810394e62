/** Claims on the keys of non-repeatable calls, kept in the platform's store by compare-and-swap. */
package org.orioleshed.claim;
