/**
 * The life of a request on its accepting host: offers, attempts, retries, claims, and the one final
 * outcome.
 */
package org.orioleshed.request;
