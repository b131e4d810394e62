package org.orioleshed.settings;

import java.util.List;

/**
 * An accepted change of the settings tree.
 *
 * @param number the revision that the change created; revisions start at one and have no gaps
 * @param id the change's id, chosen by the proposer
 * @param author the operator
 * @param reason the operator's reason
 * @param atMillis the wall-clock time of the proposing host, in milliseconds since the epoch
 * @param edits the edits
 */
public record SettingsChange(
        long number,
        String id,
        String author,
        String reason,
        long atMillis,
        List<SettingsEdit> edits) {
    /** Copies the list. */
    public SettingsChange {
        edits = List.copyOf(edits);
    }
}
