package org.orioleshed.settings;

import org.orioleshed.model.Payload;

/** What a proposed change wants done. */
public sealed interface ProposalAction {
    /** Read the settings' key. */
    record ReadStore() implements ProposalAction {}

    /** Replace the settings' key if it is still at {@code expectedRevision}. */
    record CompareAndSwap(long expectedRevision, Payload value) implements ProposalAction {}

    /** The proposal is settled; the last action. */
    record Settled(ProposalResult result) implements ProposalAction {}
}
