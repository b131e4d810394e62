package org.orioleshed.control;

import com.google.common.flogger.FluentLogger;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.orioleshed.control.ControlEvent.FollowedKey;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.membership.Member;
import org.orioleshed.membership.Membership;
import org.orioleshed.membership.MembershipAction;
import org.orioleshed.membership.MembershipCodec;
import org.orioleshed.membership.MembershipEvent;
import org.orioleshed.membership.MembershipOptions;
import org.orioleshed.membership.PlatformMark;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ServerId;
import org.orioleshed.peer.BadMessageException;
import org.orioleshed.peer.MessageKind;
import org.orioleshed.peer.PeerPort;
import org.orioleshed.rollout.RolloutCore;
import org.orioleshed.rollout.RolloutLimits;
import org.orioleshed.settings.EntrySettings;
import org.orioleshed.settings.PeerSeed;
import org.orioleshed.settings.ProposalEvent;
import org.orioleshed.settings.ProposalResult;
import org.orioleshed.settings.SettingsAction;
import org.orioleshed.settings.SettingsCodec;
import org.orioleshed.settings.SettingsEvent;
import org.orioleshed.settings.SettingsMessage;
import org.orioleshed.settings.SettingsPropagation;
import org.orioleshed.settings.SettingsTree;
import org.orioleshed.store.Store;
import org.orioleshed.store.StoreRevision;

/**
 * Connects the state machines for membership, settings and rollouts to peers and store. Confined to
 * the control thread.
 */
final class ControlCore {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long ROLLOUT_TICK_NANOS = 100 * NANOS_PER_MILLI;
    private static final long STATUS_TIMEOUT_NANOS = 1_000 * NANOS_PER_MILLI;

    private final EntrySettings ownSettings;
    private final PeerPort peers;
    private final Consumer<FleetSnapshot> snapshots;
    private final InstantSource wallClock;
    private final Membership membership;
    private final SettingsPropagation propagation;
    private final PlatformLists platformLists = new PlatformLists();
    private final Map<FollowedKey, FollowedStore> followedStores = new LinkedHashMap<>();
    private final Proposals proposals;
    private final RolloutDriver rollouts;
    private final long incarnation;
    private final MembershipCodec membershipCodec = new MembershipCodec();
    private final SettingsCodec settingsCodec = new SettingsCodec();
    private final Map<Long, StatusCollector> statusCollectors = new HashMap<>();
    private long lastStatusTicket;
    private SettingsTree tree;
    private long revision;
    private StoreRevision settingsStoreRevision = StoreRevision.NONE;
    private Map<HostId, EntryHost> hosts = Map.of();
    private boolean fleetChanged = true;
    private long nextRolloutsNanos;
    private long nowNanos;

    ControlCore(
            EntrySettings ownSettings,
            long incarnation,
            Store store,
            PeerPort peers,
            Consumer<FleetSnapshot> snapshots,
            InstantSource wallClock,
            Consumer<ControlEvent> eventSink,
            ServerOrders orders,
            RandomGenerator random) {
        this.ownSettings = ownSettings;
        this.peers = peers;
        this.snapshots = snapshots;
        this.wallClock = wallClock;
        Member self =
                new Member(
                        ownSettings.host(),
                        ownSettings.domain(),
                        ownSettings.peerAddress(),
                        incarnation,
                        0,
                        false,
                        Member.Health.ALIVE);
        this.membership = new Membership(self, MembershipOptions.DEFAULT, random);
        this.propagation = new SettingsPropagation(random);
        this.proposals = new Proposals(store, eventSink, this::onAccepted);
        this.incarnation = incarnation;
        this.rollouts = new RolloutDriver(store, peers, orders, eventSink);
        for (FollowedKey key : FollowedKey.values()) {
            followedStores.put(key, new FollowedStore(key, store, eventSink, random));
        }
    }

    void start(long now) {
        nowNanos = now;
        updateSeeds();
        viewChanged();
        tick(now);
    }

    void tick(long now) {
        nowNanos = now;
        onMembership(new MembershipEvent.Tick());
        onSettings(new SettingsEvent.Tick());
        for (FollowedStore each : followedStores.values()) {
            each.on(now, new StoreFollower.Event.Tick());
        }
        proposals.tick(now);
        if (now >= nextRolloutsNanos) {
            nextRolloutsNanos = now + ROLLOUT_TICK_NANOS;
            rollouts.tick(now, wallClock.millis());
        }
        finishStatusCollectors();
    }

    void on(long now, ControlEvent event) {
        nowNanos = now;
        switch (event) {
            case ControlEvent.PeerMessage message -> onPeerMessage(message);
            case ControlEvent.ReadAnswered read -> onReadAnswered(read.key(), read.result());
            case ControlEvent.WatchChanged changed -> onWatchChanged(changed);
            case ControlEvent.WatchClosed closed ->
                    followedStores.get(closed.key()).watchClosed(now, closed.watchId());
            case ControlEvent.ProposalAnswered answered ->
                    proposals.on(
                            now,
                            answered.proposal(),
                            new ProposalEvent.StoreAnswered(answered.result()));
            case ControlEvent.ChangeProposed proposed ->
                    proposals.start(
                            now,
                            proposed.change(),
                            revision,
                            wallClock.millis(),
                            proposed.answer());
            case ControlEvent.StatusRequested requested -> collectStatus(requested.answer());
            case ControlEvent.DocumentRequested requested ->
                    requested.answer().complete(propagation.document());
            case ControlEvent.RolloutEventReceived received -> rollouts.on(now, received.event());
            case ControlEvent.RolloutWriteRequested requested ->
                    rollouts.start(now, requested.command(), requested.answer());
            case ControlEvent.RolloutWriteAnswered answered ->
                    rollouts.onWrite(
                            now,
                            answered.write(),
                            new RolloutWrite.Event.Answered(answered.result()));
            case ControlEvent.RolloutStatusRequested requested ->
                    requested.answer().complete(rollouts.status(now));
            case ControlEvent.NoticesRequested requested ->
                    rollouts.await(
                            requested.after(),
                            now + requested.waitMillis() * NANOS_PER_MILLI,
                            requested.answer());
            case ControlEvent.DrainRequested requested ->
                    onMembership(new MembershipEvent.LeaveRequested());
        }
    }

    /** Publishes a new fleet snapshot if anything in it changed. */
    void publish() {
        fleetChanged |= rollouts.pollSplitChanged();
        if (!fleetChanged) {
            return;
        }
        fleetChanged = false;
        FleetSnapshot fleet = fleet();
        snapshots.accept(fleet);
        rollouts.fleetChanged(nowNanos, fleet);
    }

    private FleetSnapshot fleet() {
        if (tree == null) {
            return new FleetSnapshot(0, hosts, Map.of(), Map.of(), Map.of(), Map.of(), Map.of());
        }
        Map<ServerId, Boolean> leaving = new HashMap<>();
        for (PlatformMark mark : membership.marks()) {
            if (mark.kind() == PlatformMark.Kind.SERVER) {
                leaving.put(new ServerId(mark.id()), mark.leaving());
            }
        }
        rollouts.split().heldBack().forEach(server -> leaving.put(server, true));
        return tree.fleet(
                revision,
                hosts,
                leaving,
                rollouts.split().splits(),
                rollouts.split().currentVersions());
    }

    void close() {
        followedStores.values().forEach(FollowedStore::close);
        proposals.close();
        rollouts.close();
        statusCollectors
                .values()
                .forEach(
                        collector ->
                                collector.finish(Long.MAX_VALUE, propagation.status(nowNanos)));
    }

    private void onPeerMessage(ControlEvent.PeerMessage message) {
        try {
            byte[] body = message.body().toBytes();
            switch (message.kind()) {
                case MEMBERSHIP ->
                        onMembership(
                                new MembershipEvent.Received(
                                        message.from(), membershipCodec.decode(body)));
                case SETTINGS ->
                        onSettings(
                                new SettingsEvent.Received(
                                        message.from(), settingsCodec.decode(body)));
                case MOVE -> rollouts.receive(nowNanos, message.from(), body);
                case ROUTING, REQUEST, DISPATCH, CATALOG -> {}
            }
        } catch (BadMessageException e) {
            logger.atWarning().log(
                    "event=bad_message from=%s kind=%s reason=%s",
                    message.from(), message.kind(), e.getMessage());
        }
    }

    private void onMembership(MembershipEvent event) {
        for (MembershipAction action : membership.on(nowNanos, event)) {
            switch (action) {
                case MembershipAction.Send send ->
                        peers.send(
                                send.to(),
                                MessageKind.MEMBERSHIP,
                                membershipCodec.encode(send.message()));
                case MembershipAction.Locate locate ->
                        peers.setAddress(locate.host(), locate.address());
                case MembershipAction.Died died ->
                        logger.atWarning().log("event=host_dead host=%s", died.host());
                case MembershipAction.ViewChanged changed -> viewChanged();
            }
        }
    }

    private void viewChanged() {
        Map<HostId, EntryHost> view = new LinkedHashMap<>();
        for (Member member : membership.members()) {
            view.put(member.id(), member.toEntryHost());
        }
        hosts = view;
        fleetChanged = true;
        List<HostId> others = new ArrayList<>(view.keySet());
        others.remove(ownSettings.host());
        onSettings(new SettingsEvent.PeersChanged(others));
        boolean watchesStore =
                StoreWatchers.includes(ownSettings.host(), ownSettings.domain(), view.values());
        StoreFollower.Mode mode =
                watchesStore ? StoreFollower.Mode.FOLLOW : StoreFollower.Mode.ONCE;
        for (FollowedStore each : followedStores.values()) {
            each.on(nowNanos, new StoreFollower.Event.ModeChanged(mode));
        }
    }

    private void onSettings(SettingsEvent event) {
        for (SettingsAction action : propagation.on(nowNanos, event)) {
            switch (action) {
                case SettingsAction.Send send ->
                        peers.send(
                                send.to(),
                                MessageKind.SETTINGS,
                                settingsCodec.encode(send.message()));
                case SettingsAction.Adopt adopt -> adopt(adopt);
                case SettingsAction.Alarm alarm ->
                        logger.atSevere().log("event=settings_refused reason=%s", alarm.detail());
                case SettingsAction.StatusReceived received -> {
                    StatusCollector collector = statusCollectors.get(received.ticket());
                    if (collector != null) {
                        collector.record(received.from(), received.status());
                    }
                }
            }
        }
    }

    private void adopt(SettingsAction.Adopt adoption) {
        tree = adoption.tree();
        rollouts.begin(this::rolloutCore);
        revision = adoption.number();
        fleetChanged = true;
        logger.atInfo().log(
                "event=settings_in_force revision=%d change=%s unconfirmed=%s",
                adoption.number(), adoption.changeId(), propagation.status(nowNanos).unconfirmed());
    }

    private RolloutCore rolloutCore() {
        RolloutLimits limits = RolloutLimitsMapper.toRolloutLimits(tree.limits());
        return new RolloutCore(ownSettings.host(), ownSettings.domain(), incarnation, limits);
    }

    private void onAccepted(ProposalResult.Accepted result) {
        if (result.value().size() > 0) {
            onSettings(new SettingsEvent.StoreValueReceived(Optional.of(result.value())));
            return;
        }
        followedStores
                .get(FollowedKey.SETTINGS)
                .on(nowNanos, new StoreFollower.Event.RefreshRequested());
    }

    private void onReadAnswered(FollowedKey key, Store.Result result) {
        if (result instanceof Store.Result.Entries entries) {
            switch (key) {
                case SETTINGS -> onSettingsRead(entries);
                case PLATFORM -> {
                    platformLists.replaceAll(entries).forEach(this::onMembership);
                    updateSeeds();
                }
            }
        } else if (key == FollowedKey.SETTINGS) {
            onSettings(new SettingsEvent.StoreUnavailable());
        }
        followedStores.get(key).on(nowNanos, new StoreFollower.Event.ReadAnswered(result));
    }

    private void onSettingsRead(Store.Result.Entries entries) {
        Optional<Store.Entry> entry = entries.entries().stream().findFirst();
        boolean unchanged =
                !settingsStoreRevision.isNone()
                        && !settingsStoreRevision.isAfter(entries.storeRevision())
                        && (entry.isEmpty()
                                || entry.get().revision().equals(settingsStoreRevision));
        if (unchanged) {
            onSettings(new SettingsEvent.StoreValueUnchanged());
            return;
        }
        settingsStoreRevision = entry.map(Store.Entry::revision).orElse(StoreRevision.NONE);
        onSettings(new SettingsEvent.StoreValueReceived(entry.map(Store.Entry::value)));
    }

    private void onWatchChanged(ControlEvent.WatchChanged change) {
        if (!followedStores.get(change.key()).isOpen(change.watchId())) {
            return;
        }
        switch (change.key()) {
            case SETTINGS -> {
                settingsStoreRevision =
                        change.value().isPresent() ? change.revision() : StoreRevision.NONE;
                onSettings(new SettingsEvent.StoreValueReceived(change.value()));
            }
            case PLATFORM -> {
                platformLists
                        .update(change.storeKey(), change.value(), change.revision())
                        .forEach(this::onMembership);
                updateSeeds();
            }
        }
    }

    private void updateSeeds() {
        Map<HostId, MembershipEvent.Seed> seeds = new LinkedHashMap<>();
        for (PeerSeed peer : ownSettings.peers()) {
            seeds.put(peer.id(), new MembershipEvent.Seed(peer.id(), peer.peerAddress()));
        }
        for (MembershipEvent.Seed listed : platformLists.seeds()) {
            seeds.put(listed.id(), listed);
        }
        seeds.remove(ownSettings.host());
        onMembership(new MembershipEvent.Seeded(List.copyOf(seeds.values())));
    }

    private void collectStatus(CompletableFuture<ControlStatus> answer) {
        long ticket = ++lastStatusTicket;
        List<EntryHost> queried = List.copyOf(hosts.values());
        statusCollectors.put(
                ticket,
                new StatusCollector(
                        ownSettings.host(), queried, nowNanos + STATUS_TIMEOUT_NANOS, answer));
        byte[] query = settingsCodec.encode(new SettingsMessage.StatusRequest(ticket));
        for (EntryHost host : queried) {
            if (!host.id().equals(ownSettings.host())) {
                peers.send(host.id(), MessageKind.SETTINGS, query);
            }
        }
    }

    private void finishStatusCollectors() {
        statusCollectors
                .values()
                .removeIf(collector -> collector.finish(nowNanos, propagation.status(nowNanos)));
    }
}
