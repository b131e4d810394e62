/**
 * Claims on the keys of calls that may not be repeated, kept in the platform's store by
 * compare-and-swap.
 */
package org.orioleshed.claim;
