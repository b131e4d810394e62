package org.orioleshed.peer;

/** Tells new frames of one lane from repeated ones. */
final class ReceiveWindow {
    /** The answer to a sender that has been replaced. */
    static final long STALE = -1;

    private long incarnation;
    private long lastSequence;

    /**
     * Opens the window for a connection of the sender's {@code incarnation}.
     *
     * @return the highest number received from that incarnation, or -1 when a later one is known
     *     already
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

    /** Returns whether the frame is new; a repeated one is false. */
    synchronized boolean accept(long senderIncarnation, long sequence) {
        if (senderIncarnation != incarnation || sequence <= lastSequence) {
            return false;
        }
        lastSequence = sequence;
        return true;
    }

    /** Returns the highest number received. */
    synchronized long lastSequence() {
        return lastSequence;
    }
}
