/**
 * The processing of requests on their accepting host: offers, attempts, retries, claims, and the
 * single final outcome.
 */
package org.orioleshed.request;
