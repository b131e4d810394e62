package org.orioleshed.settings;

import java.util.List;
import org.orioleshed.model.Payload;

/** Messages between entry hosts that propagate settings. */
public sealed interface SettingsMessage {
    /**
     * Announces the sender's active revision.
     *
     * @param number the revision; zero if the sender has none
     * @param changeId the id of the change that created it; empty if there is none
     * @param wantReply whether the receiver should reply with its own advert
     */
    record Advert(long number, String changeId, boolean wantReply) implements SettingsMessage {}

    /**
     * Requests the receiver's active revision.
     *
     * @param haveNumber the sender's active revision; zero if it has none or requests the complete
     *     document
     * @param haveChangeId the id of the change that created it
     * @param offset the first byte of the complete document to send
     */
    record Fetch(long haveNumber, String haveChangeId, int offset) implements SettingsMessage {}

    /**
     * The changes from an earlier revision to the sender's.
     *
     * @param fromNumber the revision that the changes apply to
     * @param digest a digest of the document after the changes
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
     * A part of the complete document.
     *
     * @param number the revision
     * @param changeId the id of the change that created it
     * @param offset the position of the first byte of the piece
     * @param totalBytes the length of the complete document, in bytes
     * @param piece the bytes
     */
    record Chunk(long number, String changeId, int offset, int totalBytes, Payload piece)
            implements SettingsMessage {}

    /**
     * Requests the receiver's settings status.
     *
     * @param ticket an identifier that is repeated in the report
     */
    record StatusRequest(long ticket) implements SettingsMessage {}

    /**
     * The response to {@link StatusRequest}.
     *
     * @param ticket the identifier from the request
     * @param status the sender's status
     */
    record StatusReport(long ticket, SettingsStatus status) implements SettingsMessage {}
}
