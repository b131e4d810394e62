package org.orioleshed.settings;

import org.orioleshed.model.Payload;

/** Actions requested by a {@link Proposal}. */
public sealed interface ProposalAction {
    /** Read the settings key from the store. */
    record ReadStore() implements ProposalAction {}

    /** Replace the settings key if its store revision is still {@code expectedRevision}. */
    record CompareAndSwap(long expectedRevision, Payload value) implements ProposalAction {}

    /** The proposal has a result. This is its last action. */
    record Settled(ProposalResult result) implements ProposalAction {}
}
