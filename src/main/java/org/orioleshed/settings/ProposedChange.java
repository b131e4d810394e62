package org.orioleshed.settings;

import java.util.List;
import java.util.Optional;

/**
 * A change of the settings proposed by an operator.
 *
 * @param id the change's id; a change is accepted only once, however often the same id is proposed
 * @param author the operator
 * @param reason the operator's reason
 * @param basedOn the revision that the change is based on; empty for the latest
 * @param edits the edits, at least one
 */
public record ProposedChange(
        String id, String author, String reason, Optional<Long> basedOn, List<SettingsEdit> edits) {
    private static final int MAX_TEXT_LENGTH = 500;

    /** Checks the arguments and copies the list. */
    public ProposedChange {
        edits = List.copyOf(edits);
        if (id.isBlank() || author.isBlank() || edits.isEmpty()) {
            throw new IllegalArgumentException(
                    "id and author must not be blank, edits must not be empty");
        }
        if (id.length() > MAX_TEXT_LENGTH
                || author.length() > MAX_TEXT_LENGTH
                || reason.length() > MAX_TEXT_LENGTH) {
            throw new IllegalArgumentException(
                    "id, author and reason must have at most " + MAX_TEXT_LENGTH + " characters");
        }
    }
}
