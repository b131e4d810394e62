package org.orioleshed.gateway;

/**
 * Determines which connections may have waited in the listener's backlog. One poll of the event
 * loop accepts a limited number; those beyond it wait for the next poll, in which they look new.
 */
final class AcceptBacklog {
    private final int acceptedPerPoll;
    private long poll = -1;
    private int accepted;
    private boolean waited;

    /**
     * Creates an empty backlog.
     *
     * @param acceptedPerPoll the maximum number of connections that one poll accepts
     */
    AcceptBacklog(int acceptedPerPoll) {
        this.acceptedPerPoll = acceptedPerPoll;
    }

    /**
     * Records a connection; returns whether it may have waited since an earlier poll.
     *
     * @param currentPoll the number of the poll that accepted it
     */
    boolean accept(long currentPoll) {
        if (currentPoll != poll) {
            waited = currentPoll == poll + 1 && accepted >= acceptedPerPoll;
            poll = currentPoll;
            accepted = 0;
        }
        accepted++;
        return waited;
    }
}
