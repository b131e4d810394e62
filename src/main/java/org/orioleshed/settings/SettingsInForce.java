package org.orioleshed.settings;

import java.util.List;
import java.util.Optional;
import org.orioleshed.model.Payload;

/**
 * The revision in force at one host, kept packed.
 *
 * @param number the revision; zero when there is none
 * @param changeId the change that made it
 * @param digest a digest of the whole
 * @param packed the whole, as the store holds it
 * @param changes the latest changes, the oldest first
 */
record SettingsInForce(
        long number, String changeId, long digest, Payload packed, List<SettingsChange> changes) {
    static final SettingsInForce NONE = new SettingsInForce(0, "", 0, Payload.EMPTY, List.of());

    static SettingsInForce of(SettingsDocument document) {
        return new SettingsInForce(
                document.number(),
                document.changeId(),
                document.digest(),
                document.encode(),
                document.changes());
    }

    /** Returns the changes after a revision, if they are kept and it lies in this one's past. */
    Optional<List<SettingsChange>> changesAfter(long haveNumber, String haveId) {
        boolean known =
                changes.stream().anyMatch(c -> c.number() == haveNumber && c.id().equals(haveId));
        if (!known) {
            return Optional.empty();
        }
        return Optional.of(changes.stream().filter(c -> c.number() > haveNumber).toList());
    }
}
