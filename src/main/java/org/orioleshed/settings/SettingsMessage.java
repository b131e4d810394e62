package org.orioleshed.settings;

import java.util.List;
import org.orioleshed.model.Payload;

/** What entry hosts say to each other about the settings. */
public sealed interface SettingsMessage {
    /**
     * The revision in force at the sender; zero when it has none.
     *
     * @param number the revision
     * @param changeId the change that made it; empty when there is none
     * @param wantReply whether the sender wants to hear the receiver's
     */
    record Advert(long number, String changeId, boolean wantReply) implements SettingsMessage {}

    /**
     * Send me what you have in force.
     *
     * @param haveNumber the revision in force at the sender; zero when it has none, or wants the
     *     whole
     * @param haveChangeId the change that made it
     * @param offset from which byte of the whole on
     */
    record Fetch(long haveNumber, String haveChangeId, int offset) implements SettingsMessage {}

    /**
     * The changes that lead to the sender's revision.
     *
     * @param fromNumber the revision that they start from
     * @param digest a digest of the whole after them
     * @param changes the changes, in order
     */
    record Delta(long fromNumber, long digest, List<SettingsChange> changes)
            implements SettingsMessage {
        /** Copies the list. */
        public Delta {
            changes = List.copyOf(changes);
        }
    }

    /**
     * A piece of the whole.
     *
     * @param number the revision
     * @param changeId the change that made it
     * @param offset where the piece starts
     * @param totalBytes the length of the whole
     * @param piece the piece
     */
    record Chunk(long number, String changeId, int offset, int totalBytes, Payload piece)
            implements SettingsMessage {}

    /**
     * Which revision is in force at your place?
     *
     * @param ticket returned with the answer
     */
    record StatusAsked(long ticket) implements SettingsMessage {}

    /**
     * The answer to {@link StatusAsked}.
     *
     * @param ticket as asked
     * @param status how the sender stands
     */
    record StatusTold(long ticket, SettingsStatus status) implements SettingsMessage {}
}
