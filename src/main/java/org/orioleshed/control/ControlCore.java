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

/** Joins the machines of the control duty; used by its thread alone. */
final class ControlCore {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long MOVES_NANOS = 100 * NANOS_PER_MILLI;
    private static final long STATUS_NANOS = 1_000 * NANOS_PER_MILLI;

    private final EntrySettings own;
    private final PeerPort peers;
    private final Consumer<FleetSnapshot> snapshots;
    private final InstantSource wallClock;
    private final Membership membership;
    private final SettingsPropagation spread;
    private final PlatformLists lists = new PlatformLists();
    private final Map<FollowedKey, FollowedStore> followed = new LinkedHashMap<>();
    private final Proposals proposals;
    private final RolloutDriver rollouts;
    private final long incarnation;
    private final MembershipCodec membershipCodec = new MembershipCodec();
    private final SettingsCodec settingsCodec = new SettingsCodec();
    private final Map<Long, StatusRound> rounds = new HashMap<>();
    private long lastTicket;
    private SettingsTree tree;
    private long revision;
    private long settingsStoreRevision;
    private Map<HostId, EntryHost> hosts = Map.of();
    private boolean fleetChanged = true;
    private long nextRolloutsNanos;
    private long nowNanos;

    ControlCore(
            EntrySettings own,
            long incarnation,
            Store store,
            PeerPort peers,
            Consumer<FleetSnapshot> snapshots,
            InstantSource wallClock,
            Consumer<ControlEvent> ring,
            ServerOrders orders,
            RandomGenerator random) {
        this.own = own;
        this.peers = peers;
        this.snapshots = snapshots;
        this.wallClock = wallClock;
        Member self =
                new Member(
                        own.host(),
                        own.domain(),
                        own.peerAddress(),
                        incarnation,
                        0,
                        false,
                        Member.Health.ALIVE);
        this.membership = new Membership(self, MembershipOptions.DEFAULT, random);
        this.spread = new SettingsPropagation(random);
        this.proposals = new Proposals(store, ring, this::accepted);
        this.incarnation = incarnation;
        this.rollouts = new RolloutDriver(store, peers, orders, ring);
        for (FollowedKey key : FollowedKey.values()) {
            followed.put(key, new FollowedStore(key, store, ring, random));
        }
    }

    void start(long now) {
        nowNanos = now;
        seed();
        viewChanged();
        tick(now);
    }

    void tick(long now) {
        nowNanos = now;
        onMembership(new MembershipEvent.Tick());
        onSettings(new SettingsEvent.Tick());
        for (FollowedStore each : followed.values()) {
            each.on(now, new StoreFollower.Event.Tick());
        }
        proposals.tick(now);
        if (now >= nextRolloutsNanos) {
            nextRolloutsNanos = now + MOVES_NANOS;
            rollouts.tick(now, wallClock.millis());
        }
        finishRounds();
    }

    void on(long now, ControlEvent event) {
        nowNanos = now;
        switch (event) {
            case ControlEvent.PeerMessage message -> receive(message);
            case ControlEvent.ReadAnswered read -> takeRead(read.key(), read.result());
            case ControlEvent.WatchTold told -> takeWatch(told);
            case ControlEvent.WatchBroke broke ->
                    followed.get(broke.key()).broke(now, broke.watch());
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
            case ControlEvent.StatusWanted wanted -> startRound(wanted.answer());
            case ControlEvent.DocumentWanted wanted -> wanted.answer().complete(spread.document());
            case ControlEvent.RolloutHappened happened -> rollouts.on(now, happened.event());
            case ControlEvent.RolloutWanted wanted ->
                    rollouts.start(now, wanted.wish(), wanted.answer());
            case ControlEvent.RolloutWriteAnswered answered ->
                    rollouts.onWrite(
                            now,
                            answered.write(),
                            new RolloutWrite.Event.Answered(answered.result()));
            case ControlEvent.RolloutsWanted wanted ->
                    wanted.answer().complete(rollouts.status(now));
            case ControlEvent.NoticesWanted wanted ->
                    rollouts.await(
                            wanted.after(),
                            now + wanted.waitMillis() * NANOS_PER_MILLI,
                            wanted.answer());
            case ControlEvent.DrainRequested asked ->
                    onMembership(new MembershipEvent.LeaveRequested());
        }
    }

    /** Hands the fleet snapshot on if anything in it changed. */
    void publish() {
        fleetChanged |= rollouts.takeSplitChanged();
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
        followed.values().forEach(FollowedStore::close);
        proposals.close();
        rollouts.close();
        rounds.values().forEach(round -> round.finish(Long.MAX_VALUE, spread.status(nowNanos)));
    }

    private void receive(ControlEvent.PeerMessage message) {
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
        others.remove(own.host());
        onSettings(new SettingsEvent.PeersChanged(others));
        boolean watches = StoreWatchers.includes(own.host(), own.domain(), view.values());
        StoreFollower.Mode mode = watches ? StoreFollower.Mode.FOLLOW : StoreFollower.Mode.ONCE;
        for (FollowedStore each : followed.values()) {
            each.on(nowNanos, new StoreFollower.Event.ModeChanged(mode));
        }
    }

    private void onSettings(SettingsEvent event) {
        for (SettingsAction action : spread.on(nowNanos, event)) {
            switch (action) {
                case SettingsAction.Send send ->
                        peers.send(
                                send.to(),
                                MessageKind.SETTINGS,
                                settingsCodec.encode(send.message()));
                case SettingsAction.Adopt adopt -> adopt(adopt);
                case SettingsAction.Alarm alarm ->
                        logger.atSevere().log("event=settings_refused reason=%s", alarm.detail());
                case SettingsAction.StatusReceived told -> {
                    StatusRound round = rounds.get(told.ticket());
                    if (round != null) {
                        round.tell(told.from(), told.status());
                    }
                }
            }
        }
    }

    private void adopt(SettingsAction.Adopt adopted) {
        tree = adopted.tree();
        rollouts.begin(this::rolloutCore);
        revision = adopted.number();
        fleetChanged = true;
        logger.atInfo().log(
                "event=settings_in_force revision=%d change=%s unconfirmed=%s",
                adopted.number(), adopted.changeId(), spread.status(nowNanos).unconfirmed());
    }

    private RolloutCore rolloutCore() {
        RolloutLimits limits = RolloutLimitsFrom.settings(tree.limits());
        return new RolloutCore(own.host(), own.domain(), incarnation, limits);
    }

    private void accepted(ProposalResult.Accepted accepted) {
        if (accepted.value().size() > 0) {
            onSettings(new SettingsEvent.StoreValueReceived(Optional.of(accepted.value())));
            return;
        }
        followed.get(FollowedKey.SETTINGS).on(nowNanos, new StoreFollower.Event.ReadWanted());
    }

    private void takeRead(FollowedKey key, Store.Result result) {
        if (result instanceof Store.Result.Entries entries) {
            switch (key) {
                case SETTINGS -> takeSettings(entries);
                case PLATFORM -> {
                    lists.takeAll(entries).forEach(this::onMembership);
                    seed();
                }
            }
        } else if (key == FollowedKey.SETTINGS) {
            onSettings(new SettingsEvent.StoreUnavailable());
        }
        followed.get(key).on(nowNanos, new StoreFollower.Event.ReadAnswered(result));
    }

    private void takeSettings(Store.Result.Entries entries) {
        Optional<Store.Entry> entry = entries.entries().stream().findFirst();
        boolean same =
                settingsStoreRevision > 0
                        && entries.storeRevision() >= settingsStoreRevision
                        && (entry.isEmpty() || entry.get().revision() == settingsStoreRevision);
        if (same) {
            onSettings(new SettingsEvent.StoreValueUnchanged());
            return;
        }
        settingsStoreRevision = entry.map(Store.Entry::revision).orElse(0L);
        onSettings(new SettingsEvent.StoreValueReceived(entry.map(Store.Entry::value)));
    }

    private void takeWatch(ControlEvent.WatchTold told) {
        if (!followed.get(told.key()).isOpen(told.watch())) {
            return;
        }
        switch (told.key()) {
            case SETTINGS -> {
                settingsStoreRevision = told.value().isPresent() ? told.revision() : 0;
                onSettings(new SettingsEvent.StoreValueReceived(told.value()));
            }
            case PLATFORM -> {
                lists.take(told.storeKey(), told.value(), told.revision())
                        .forEach(this::onMembership);
                seed();
            }
        }
    }

    private void seed() {
        Map<HostId, MembershipEvent.Seed> seeds = new LinkedHashMap<>();
        for (PeerSeed peer : own.peers()) {
            seeds.put(peer.id(), new MembershipEvent.Seed(peer.id(), peer.peerAddress()));
        }
        for (MembershipEvent.Seed listed : lists.seeds()) {
            seeds.put(listed.id(), listed);
        }
        seeds.remove(own.host());
        onMembership(new MembershipEvent.Seeded(List.copyOf(seeds.values())));
    }

    private void startRound(CompletableFuture<ControlStatus> answer) {
        long ticket = ++lastTicket;
        List<EntryHost> asked = List.copyOf(hosts.values());
        rounds.put(ticket, new StatusRound(own.host(), asked, nowNanos + STATUS_NANOS, answer));
        byte[] question = settingsCodec.encode(new SettingsMessage.StatusRequest(ticket));
        for (EntryHost host : asked) {
            if (!host.id().equals(own.host())) {
                peers.send(host.id(), MessageKind.SETTINGS, question);
            }
        }
    }

    private void finishRounds() {
        rounds.values().removeIf(round -> round.finish(nowNanos, spread.status(nowNanos)));
    }
}
