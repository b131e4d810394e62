package org.orioleshed.model;

/**
 * The id of one attempt to run a request on a backend server.
 *
 * @param request the request
 * @param attempt the number of the attempt, from one
 */
public record RunId(RequestId request, int attempt) {
    /** Checks the arguments. */
    public RunId {
        if (request == null) {
            throw new IllegalArgumentException("request must be given");
        }
        if (attempt < 1) {
            throw new IllegalArgumentException("attempt must be positive, found " + attempt);
        }
    }

    @Override
    public String toString() {
        return request + "#" + attempt;
    }
}
