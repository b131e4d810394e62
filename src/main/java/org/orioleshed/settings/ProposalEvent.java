package org.orioleshed.settings;

import org.orioleshed.store.Store;

/** What can happen to a proposed change. */
public sealed interface ProposalEvent {
    /** Time passed, or the proposal starts. */
    record Tick() implements ProposalEvent {}

    /** The store answered the last action. */
    record StoreAnswered(Store.Result result) implements ProposalEvent {}
}
