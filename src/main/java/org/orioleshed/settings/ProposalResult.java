package org.orioleshed.settings;

import java.util.List;
import org.orioleshed.model.Payload;

/** What became of a proposed change. */
public sealed interface ProposalResult {
    /**
     * The change is accepted and will be in force everywhere; it never reverts.
     *
     * @param number its revision
     * @param value the store's value with it; empty when a later change came on top
     */
    record Accepted(long number, Payload value) implements ProposalResult {}

    /** The change, or the tree with it, is not valid. Nothing was written. */
    record Rejected(List<Problem> problems) implements ProposalResult {
        /** Copies the list. */
        public Rejected {
            problems = List.copyOf(problems);
        }
    }

    /**
     * Other changes came first. Nothing was written.
     *
     * @param presentNumber the revision that stands
     * @param since the changes since the one that the operator saw, as far as they are kept
     */
    record Conflict(long presentNumber, List<SettingsChange> since) implements ProposalResult {
        /** Copies the list. */
        public Conflict {
            since = List.copyOf(since);
        }
    }

    /** The store holds settings that must not be built on. Nothing was written. */
    record Refused(String detail) implements ProposalResult {}

    /** The store can't be asked. Nothing was written. */
    record StoreAway(String detail) implements ProposalResult {}

    /** The store did not say whether the change was written; propose the same id again. */
    record InDoubt(String detail) implements ProposalResult {}
}
