package org.orioleshed.settings;

import java.util.List;
import java.util.Optional;
import org.orioleshed.model.Payload;

/**
 * The active revision of one host, held in compressed form.
 *
 * @param number the revision; zero if there is none
 * @param changeId the id of the change that created it
 * @param digest a digest of the complete document
 * @param compressed the complete document, as stored
 * @param changes the latest changes, oldest first
 */
record ActiveSettings(
        long number,
        String changeId,
        long digest,
        Payload compressed,
        List<SettingsChange> changes) {
    static final ActiveSettings NONE = new ActiveSettings(0, "", 0, Payload.EMPTY, List.of());

    static ActiveSettings of(SettingsDocument document) {
        return new ActiveSettings(
                document.number(),
                document.changeId(),
                document.digest(),
                document.encode(),
                document.changes());
    }

    /**
     * Returns the changes after a revision; empty unless that revision is in the retained history.
     */
    Optional<List<SettingsChange>> changesAfter(long haveNumber, String haveChangeId) {
        boolean retained =
                changes.stream()
                        .anyMatch(c -> c.number() == haveNumber && c.id().equals(haveChangeId));
        if (!retained) {
            return Optional.empty();
        }
        return Optional.of(changes.stream().filter(c -> c.number() > haveNumber).toList());
    }
}
