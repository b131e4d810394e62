package org.orioleshed.settings;

import java.util.List;
import org.orioleshed.model.Payload;

/** The result of a proposed change. */
public sealed interface ProposalResult {
    /**
     * The change is accepted and will become active on every host; it is never reverted.
     *
     * @param number the revision that the change created
     * @param value the value written to the store; empty if the change was already in the stored
     *     history
     */
    record Accepted(long number, Payload value) implements ProposalResult {}

    /** The change, or the resulting tree, is invalid. Nothing was written. */
    record Rejected(List<Problem> problems) implements ProposalResult {
        /** Copies the list. */
        public Rejected {
            problems = List.copyOf(problems);
        }
    }

    /**
     * Other changes were accepted first. Nothing was written.
     *
     * @param presentNumber the latest revision in the store
     * @param since the changes after the revision that the proposal is based on, as far as they are
     *     retained
     */
    record Conflict(long presentNumber, List<SettingsChange> since) implements ProposalResult {
        /** Copies the list. */
        public Conflict {
            since = List.copyOf(since);
        }
    }

    /** The stored settings cannot serve as a base for changes. Nothing was written. */
    record Refused(String detail) implements ProposalResult {}

    /** The store is unavailable. Nothing was written. */
    record StoreUnavailable(String detail) implements ProposalResult {}

    /** It is unknown whether the change was written; propose the same id again. */
    record InDoubt(String detail) implements ProposalResult {}
}
