package org.orioleshed.entry;

/**
 * What is wrong with a caller's request: it is turned down at the door and never ran.
 *
 * @param status the HTTP status
 * @param code the stable code of the error
 * @param message a sentence for the caller
 */
record BadRequest(int status, String code, String message) implements Admission {}
