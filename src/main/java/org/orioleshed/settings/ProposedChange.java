package org.orioleshed.settings;

import java.util.List;
import java.util.Optional;

/**
 * A change that an operator wants.
 *
 * @param id the change's id; the same id is accepted once, however often it is proposed
 * @param author the operator
 * @param reason why
 * @param basedOn the revision that the operator saw; empty to build on whatever stands
 * @param edits what to change, at least one
 */
public record ProposedChange(
        String id, String author, String reason, Optional<Long> basedOn, List<SettingsEdit> edits) {
    private static final int MAX_TEXT = 500;

    /** Checks the arguments and copies the list. */
    public ProposedChange {
        edits = List.copyOf(edits);
        if (id.isBlank() || author.isBlank() || edits.isEmpty()) {
            throw new IllegalArgumentException("id, author and at least one edit must be given");
        }
        if (id.length() > MAX_TEXT || author.length() > MAX_TEXT || reason.length() > MAX_TEXT) {
            throw new IllegalArgumentException(
                    "id, author and reason must not be longer than " + MAX_TEXT + " characters");
        }
    }
}
