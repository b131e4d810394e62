package org.orioleshed.peer;

/** Filters out repeated frames of one lane. */
final class ReceiveWindow {
    /** Returned to a sender whose incarnation has been superseded. */
    static final long STALE = -1;

    private long incarnation;
    private long lastSequence;

    /**
     * Opens the window for a connection of the sender's {@code incarnation}.
     *
     * @return the highest sequence number received from that incarnation, or {@link #STALE} if a
     *     later incarnation has connected
     */
    synchronized long open(long senderIncarnation) {
        if (senderIncarnation < incarnation) {
            return STALE;
        }
        if (senderIncarnation > incarnation) {
            incarnation = senderIncarnation;
            lastSequence = 0;
        }
        return lastSequence;
    }

    /** Records a frame and returns true if it is new; false if it is repeated or stale. */
    synchronized boolean accept(long senderIncarnation, long sequence) {
        if (senderIncarnation != incarnation || sequence <= lastSequence) {
            return false;
        }
        lastSequence = sequence;
        return true;
    }

    /** Returns the highest sequence number received. */
    synchronized long lastSequence() {
        return lastSequence;
    }
}
