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
import org.orioleshed.store.StoreRevision;

/** An event for the control thread. */
sealed interface ControlEvent {
    /** A message from a peer. */
    record PeerMessage(HostId from, MessageKind kind, Payload body) implements ControlEvent {}

    /** The store answered a read of a followed key. */
    record ReadAnswered(FollowedKey key, Store.Result result) implements ControlEvent {}

    /** A watch reported a change. */
    record WatchChanged(
            FollowedKey key,
            long watchId,
            String storeKey,
            Optional<Payload> value,
            StoreRevision revision)
            implements ControlEvent {}

    /** A watch ended unexpectedly. */
    record WatchClosed(FollowedKey key, long watchId) implements ControlEvent {}

    /** The store answered a proposal. */
    record ProposalAnswered(long proposal, Store.Result result) implements ControlEvent {}

    /** An operator proposed a change of the settings. */
    record ChangeProposed(ProposedChange change, CompletableFuture<ProposalResult> answer)
            implements ControlEvent {}

    /** The settings status of the fleet was requested. */
    record StatusRequested(CompletableFuture<ControlStatus> answer) implements ControlEvent {}

    /** An event for the rollout state machine. */
    record RolloutEventReceived(RolloutEvent event) implements ControlEvent {}

    /** An operator requested a write to a rollout record. */
    record RolloutWriteRequested(
            RolloutWrite.Command command, CompletableFuture<RolloutWriteResult> answer)
            implements ControlEvent {}

    /** The store answered a call of a rollout write. */
    record RolloutWriteAnswered(long write, Store.Result result) implements ControlEvent {}

    /** The status of all rollouts was requested. */
    record RolloutStatusRequested(CompletableFuture<List<RolloutStatus>> answer)
            implements ControlEvent {}

    /** Rollout notices after a sequence number were requested. */
    record NoticesRequested(
            long after, long waitMillis, CompletableFuture<List<RolloutNotice>> answer)
            implements ControlEvent {}

    /** The settings document in force was requested. */
    record DocumentRequested(CompletableFuture<Optional<SettingsDocument>> answer)
            implements ControlEvent {}

    /** A stop of the host was requested. */
    record DrainRequested() implements ControlEvent {}

    /** A key or prefix of the store that the control duty follows. */
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
