package org.orioleshed.settings;

import java.util.List;

/**
 * One accepted change of the tree.
 *
 * @param number the revision that it made, from one, without gaps
 * @param id the change's id, chosen by whoever proposed it
 * @param author the operator
 * @param reason why, in the operator's words
 * @param atMillis when, on the wall clock of the host that proposed it, in milliseconds since 1970
 * @param edits what it changed
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
