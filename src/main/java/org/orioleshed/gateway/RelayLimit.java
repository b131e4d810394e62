package org.orioleshed.gateway;

/**
 * Decides whether a relay accepts a forwarded request. Pure. A relay's own callers come first: it
 * carries at most as many requests for other hosts as for its own callers.
 */
final class RelayLimit {
    /** An idle relay accepts this many; they cost it less than a connection's usual pipeline. */
    static final int MIN_IN_FLIGHT = 16;

    /** Bounds the memory for forwarded requests and their responses. */
    static final int MAX_IN_FLIGHT = 256;

    private int inFlight;

    /**
     * Accepts a request if the limit allows it; each accepted one must be {@link #ended}.
     *
     * @param ownInFlight the requests of this host's own callers that have begun and not ended
     */
    boolean tryAccept(int ownInFlight) {
        if (inFlight >= Math.clamp(ownInFlight, MIN_IN_FLIGHT, MAX_IN_FLIGHT)) {
            return false;
        }
        inFlight++;
        return true;
    }

    void ended() {
        inFlight--;
    }

    int inFlight() {
        return inFlight;
    }
}
