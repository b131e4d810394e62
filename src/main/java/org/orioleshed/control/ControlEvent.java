package org.orioleshed.control;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Payload;
import org.orioleshed.peer.MessageKind;
import org.orioleshed.rollout.RolloutEvent;
import org.orioleshed.rollout.RolloutStatus;
import org.orioleshed.settings.ProposalResult;
import org.orioleshed.settings.ProposedChange;
import org.orioleshed.settings.SettingsDocument;
import org.orioleshed.store.Store;

/** What reaches the control thread through its ring. */
sealed interface ControlEvent {
    /** A message from a peer. */
    record PeerMessage(HostId from, MessageKind kind, Payload body) implements ControlEvent {}

    /** The store answered a follower's read. */
    record ReadAnswered(FollowedKey key, Store.Result result) implements ControlEvent {}

    /** A follower's watch told a change. */
    record WatchTold(
            FollowedKey key, long watch, String storeKey, Optional<Payload> value, long revision)
            implements ControlEvent {}

    /** A follower's watch broke off. */
    record WatchBroke(FollowedKey key, long watch) implements ControlEvent {}

    /** The store answered a proposal. */
    record ProposalAnswered(long proposal, Store.Result result) implements ControlEvent {}

    /** An operator proposes a change. */
    record ChangeProposed(ProposedChange change, CompletableFuture<ProposalResult> answer)
            implements ControlEvent {}

    /** Someone wants to know how the fleet stands. */
    record StatusWanted(CompletableFuture<ControlStatus> answer) implements ControlEvent {}

    /** Something happened to moves. */
    record RolloutHappened(RolloutEvent event) implements ControlEvent {}

    /** An operator wants something of a rollout. */
    record RolloutWanted(RolloutWrite.Wish wish, CompletableFuture<RolloutWriteResult> answer)
            implements ControlEvent {}

    /** The store answered an operator's wish about a rollout. */
    record RolloutWriteAnswered(long write, Store.Result result) implements ControlEvent {}

    /** Someone wants to know how moves stand. */
    record RolloutsWanted(CompletableFuture<List<RolloutStatus>> answer) implements ControlEvent {}

    /** Someone waits for notices of rollouts. */
    record NoticesWanted(long after, long waitMillis, CompletableFuture<List<RolloutNotice>> answer)
            implements ControlEvent {}

    /** Someone wants the settings' document in force. */
    record DocumentWanted(CompletableFuture<Optional<SettingsDocument>> answer)
            implements ControlEvent {}

    /** This host is about to stop. */
    record DrainRequested() implements ControlEvent {}

    /** The parts of the store that the control duty follows. */
    enum FollowedKey {
        /** The settings tree. */
        SETTINGS("orioleshed/settings/tree", 1_500),
        /** The platform's lists. */
        PLATFORM(PlatformLists.PREFIX, 3_000);

        private final String key;
        private final long pollMillis;

        FollowedKey(String key, long pollMillis) {
            this.key = key;
            this.pollMillis = pollMillis;
        }

        String key() {
            return key;
        }

        long pollMillis() {
            return pollMillis;
        }
    }
}
