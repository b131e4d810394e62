package org.orioleshed.entry;

/**
 * An invalid request of a caller. It is rejected before scheduling and never runs.
 *
 * @param status the HTTP status
 * @param code the stable error code
 * @param message the explanation for the caller
 */
record BadRequest(int status, String code, String message) implements Admission {}
