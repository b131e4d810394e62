package org.orioleshed.settings;

import org.orioleshed.store.Store;

/** Events handled by a {@link Proposal}. */
public sealed interface ProposalEvent {
    /** Time has passed; the first tick starts the proposal. */
    record Tick() implements ProposalEvent {}

    /** The store's result of the last action. */
    record StoreAnswered(Store.Result result) implements ProposalEvent {}
}
