package org.orioleshed.rollout;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Payload;
import org.orioleshed.model.RolloutId;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.StateMachine;

/**
 * State machine of one entry host for all rollouts: gathers and exchanges evidence, trips circuit
 * breakers, acts as coordinator while it holds a lease, and computes the traffic split.
 *
 * <p>Every host decides independently: the new version gets no requests once the breaker has
 * tripped, or once the deadline has passed without a recorded completion, even if no other host is
 * reachable.
 */
public final class RolloutCore implements StateMachine<RolloutEvent, RolloutAction> {
    static final long NANOS_PER_MILLI = 1_000_000L;

    /** The newest record is sent once in this number of gossip rounds. */
    private static final int ROUNDS_PER_RECORD = 5;

    private final HostId self;
    private final FailureDomain domain;
    private final long incarnation;
    private final RolloutLimits limits;
    private final CoordinatorCandidacy candidacy;
    private final Map<RolloutId, RolloutTracker> trackers = new TreeMap<>();
    private final Map<RolloutId, RolloutCoordinator> coordinators = new HashMap<>();
    private final Map<RouteId, List<RolloutTracker>> trackersByRoute = new HashMap<>();
    private final Map<RolloutId, Long> badRevisions = new HashMap<>();
    private FleetSnapshot fleet = FleetSnapshot.EMPTY;
    private List<HostId> peers = List.of();
    private long epochMillis;
    private long lastTicket;
    private long nextGossipNanos = Long.MIN_VALUE;
    private long nextListNanos = Long.MIN_VALUE;
    private long gossipRound;

    private boolean splitMayHaveChanged;

    private RolloutAction.SplitChanged lastSplit =
            new RolloutAction.SplitChanged(Map.of(), Map.of(), Set.of());

    /**
     * Creates the state machine of one incarnation of a host.
     *
     * @param self the host
     * @param domain its failure domain
     * @param incarnation incremented at each start of the host
     * @param limits the limits of rollouts
     */
    public RolloutCore(HostId self, FailureDomain domain, long incarnation, RolloutLimits limits) {
        if (self == null || domain == null || limits == null) {
            throw new IllegalArgumentException("host, domain and limits must be given");
        }
        this.self = self;
        this.domain = domain;
        this.incarnation = incarnation;
        this.limits = limits;
        this.candidacy = new CoordinatorCandidacy(self);
    }

    @Override
    public List<RolloutAction> on(long nowNanos, RolloutEvent event) {
        List<RolloutAction> actions = new ArrayList<>();
        switch (event) {
            case RolloutEvent.Observed observed -> observe(nowNanos, observed, actions);
            case RolloutEvent.RecordRead read -> onRead(nowNanos, read, actions);
            case RolloutEvent.RecordsListed listed ->
                    listed.records().forEach(read -> onRead(nowNanos, read, actions));
            case RolloutEvent.LeaseResult result ->
                    coordinators
                            .values()
                            .forEach(
                                    coordinator ->
                                            actions.addAll(coordinator.onLease(nowNanos, result)));
            case RolloutEvent.SwapResult result -> onSwap(nowNanos, result, actions);
            case RolloutEvent.PeerReceived received -> onMessage(nowNanos, received, actions);
            case RolloutEvent.FleetChanged changed -> changeFleet(changed.fleet());
            case RolloutEvent.OrderAnswered answered -> {}
            case RolloutEvent.StateRead state ->
                    state.version()
                            .ifPresent(
                                    version ->
                                            coordinators
                                                    .values()
                                                    .forEach(
                                                            coordinator ->
                                                                    coordinator
                                                                            .orders()
                                                                            .onState(
                                                                                    state.server(),
                                                                                    version)));
            case RolloutEvent.Tick tick -> tick(nowNanos, tick.epochMillis(), actions);
        }
        emitSplitIfChanged(nowNanos, actions);
        return actions;
    }

    /** Returns the status of each rollout, for operators. */
    public List<RolloutStatus> status(long nowNanos) {
        List<RolloutStatus> all = new ArrayList<>();
        for (RolloutTracker tracker : trackers.values()) {
            all.add(
                    new RolloutStatus(
                            tracker.record(),
                            tracker.revision(),
                            tracker.share(nowNanos, epochMillis, fleet),
                            tracker.breaker(),
                            coordinators.get(tracker.record().id()).fence(nowNanos),
                            tracker.pooled().newRuns(),
                            tracker.pooled().alarm(),
                            tracker.pooled().proofOfEachRoute()));
        }
        return all;
    }

    private void observe(
            long nowNanos, RolloutEvent.Observed observed, List<RolloutAction> actions) {
        for (RolloutTracker tracker : trackersByRoute.getOrDefault(observed.route(), List.of())) {
            if (tracker.isSettled(epochMillis) || tracker.isSuperseded()) {
                continue;
            }
            tracker.local()
                    .observe(
                            nowNanos,
                            observed.route(),
                            observed.version(),
                            observed.server(),
                            tracker.generation(observed.server(), fleet),
                            observed.result());
            if (observed.version().equals(tracker.record().to())) {
                checkBreaker(nowNanos, tracker, actions);
            }
        }
    }

    private void checkBreaker(long nowNanos, RolloutTracker tracker, List<RolloutAction> actions) {
        tracker.alarm().ifPresent(reason -> trip(nowNanos, tracker, reason, peers, actions));
    }

    private void trip(
            long nowNanos,
            RolloutTracker tracker,
            String reason,
            Collection<HostId> recipients,
            List<RolloutAction> actions) {
        if (!tracker.trip(reason)) {
            return;
        }
        splitMayHaveChanged = true;
        RolloutAction.Notice.Kind kind =
                tracker.isOpen()
                        ? RolloutAction.Notice.Kind.FUSE
                        : RolloutAction.Notice.Kind.FAULT_AFTER_COMPLETION;
        actions.add(notice(tracker, kind, reason));
        RolloutMessage message = evidence(nowNanos, tracker);
        recipients.forEach(peer -> actions.add(new RolloutAction.SendMessage(peer, message)));
    }

    private void onRead(long nowNanos, RolloutEvent.RecordRead read, List<RolloutAction> actions) {
        RolloutCoordinator coordinator = coordinators.get(read.rollout());
        if (coordinator != null) {
            coordinator.recordRead();
        }
        if (read.value().isEmpty()) {
            return;
        }
        Payload value = read.value().get();
        if (onRecord(nowNanos, read.rollout(), value, read.revision(), actions)) {
            broadcastRecord(read.rollout(), actions);
        }
    }

    /** Handles a record that may be newer than the known one. Returns whether it was. */
    private boolean onRecord(
            long nowNanos,
            RolloutId id,
            Payload value,
            long revision,
            List<RolloutAction> actions) {
        RolloutTracker existing = trackers.get(id);
        if (existing != null && revision <= existing.revision()) {
            return false;
        }
        try {
            RolloutRecord record = RolloutRecord.parse(value);
            if (!record.id().equals(id)) {
                throw new BadRecordException(
                        "record of another rollout: expected id " + id + ", found " + record.id(),
                        null);
            }
            return update(nowNanos, record, revision, actions);
        } catch (BadRecordException e) {
            if (revision > badRevisions.getOrDefault(id, 0L)) {
                badRevisions.put(id, revision);
                actions.add(
                        new RolloutAction.Notice(
                                id,
                                RolloutAction.Notice.Kind.BAD_RECORD,
                                epochMillis,
                                e.getMessage()));
            }
            return false;
        }
    }

    private boolean update(
            long nowNanos, RolloutRecord record, long revision, List<RolloutAction> actions) {
        RolloutTracker tracker = trackers.get(record.id());
        boolean wasOpen = tracker == null || tracker.isOpen();
        if (tracker == null) {
            tracker = new RolloutTracker(nowNanos, self, record, revision, limits);
            add(nowNanos, tracker);
        } else if (!tracker.update(nowNanos, record, revision)) {
            return false;
        }
        if (wasOpen && !tracker.isOpen()) {
            RolloutAction.Notice.Kind kind =
                    record.state() == RolloutState.COMPLETED
                            ? RolloutAction.Notice.Kind.COMPLETED
                            : RolloutAction.Notice.Kind.TAKEN_BACK;
            actions.add(notice(tracker, kind, record.author() + ": " + record.reason()));
        }
        TrafficSplits.resolveConflicts(trackers.values());
        splitMayHaveChanged = true;
        return true;
    }

    private void add(long nowNanos, RolloutTracker tracker) {
        RolloutId id = tracker.record().id();
        trackers.put(id, tracker);
        Payload holder = Payload.of(self + "." + incarnation);
        coordinators.put(id, new RolloutCoordinator(tracker, holder, limits, () -> ++lastTicket));
        candidacy.rolloutObserved(id, nowNanos);
        for (RouteId route : tracker.record().routes()) {
            trackersByRoute.computeIfAbsent(route, key -> new ArrayList<>()).add(tracker);
        }
    }

    private void onSwap(
            long nowNanos, RolloutEvent.SwapResult result, List<RolloutAction> actions) {
        for (RolloutCoordinator coordinator : coordinators.values()) {
            actions.addAll(
                    coordinator.onSwap(
                            nowNanos,
                            result,
                            (record, revision) -> onWritten(nowNanos, record, revision)));
        }
    }

    private List<RolloutAction> onWritten(long nowNanos, RolloutRecord record, long revision) {
        List<RolloutAction> actions = new ArrayList<>();
        update(nowNanos, record, revision, actions);
        if (!record.state().isOutcome()) {
            RolloutTracker tracker = trackers.get(record.id());
            String detail =
                    "step="
                            + record.step()
                            + " share="
                            + tracker.share(nowNanos, epochMillis, fleet);
            actions.add(notice(tracker, RolloutAction.Notice.Kind.STEP, detail));
        }
        broadcastRecord(record.id(), actions);
        return actions;
    }

    private void onMessage(
            long nowNanos, RolloutEvent.PeerReceived received, List<RolloutAction> actions) {
        switch (received.message()) {
            case RolloutMessage.RecordSeen seen ->
                    onRecord(nowNanos, seen.rollout(), seen.record(), seen.revision(), actions);
            case RolloutMessage.Evidence evidence -> {
                RolloutTracker tracker = trackers.get(evidence.rollout());
                if (tracker != null) {
                    onEvidence(nowNanos, received.from(), tracker, evidence, actions);
                }
            }
        }
    }

    private void onEvidence(
            long nowNanos,
            HostId from,
            RolloutTracker tracker,
            RolloutMessage.Evidence evidence,
            List<RolloutAction> actions) {
        if (evidence.coordinatorFence() > 0) {
            candidacy.coordinatorObserved(tracker.record().id(), nowNanos);
        }
        if (tracker.isSettled(epochMillis)) {
            return;
        }
        tracker.pooled()
                .merge(
                        nowNanos,
                        from,
                        evidence.domain(),
                        evidence.incarnation(),
                        evidence.tallies());
        if (evidence.breakerTripped()) {
            trip(nowNanos, tracker, "fuse of " + from, nextPeers(), actions);
        }
        checkBreaker(nowNanos, tracker, actions);
    }

    private void changeFleet(FleetSnapshot newFleet) {
        fleet = newFleet;
        splitMayHaveChanged = true;
        peers =
                fleet.hosts().values().stream()
                        .filter(host -> host.state() != EntryHost.State.DEAD)
                        .map(EntryHost::id)
                        .filter(id -> !id.equals(self))
                        .sorted()
                        .toList();
        candidacy.changeHosts(fleet);
        trackers.values().forEach(RolloutTracker::fleetChanged);
    }

    private void tick(long nowNanos, long newEpochMillis, List<RolloutAction> actions) {
        epochMillis = newEpochMillis;
        splitMayHaveChanged = true;
        for (RolloutTracker tracker : trackers.values()) {
            if (tracker.rollBackAtDeadline(epochMillis)) {
                actions.add(
                        notice(
                                tracker,
                                RolloutAction.Notice.Kind.CONCLUDED_BACK,
                                "no completion recorded in time"));
            }
        }
        gossip(nowNanos, actions);
        if (nowNanos >= nextListNanos && candidacy.listsRollouts(domain)) {
            nextListNanos = nowNanos + limits.listMillis() * NANOS_PER_MILLI;
            actions.add(new RolloutAction.ListRecords());
        }
        for (RolloutTracker tracker : trackers.values()) {
            RolloutCoordinator coordinator = coordinators.get(tracker.record().id());
            boolean wanted = candidacy.shouldTry(tracker.record().id(), nowNanos);
            boolean holdStart = tracker.isService() && isModelRolloutOpen();
            actions.addAll(coordinator.tick(nowNanos, epochMillis, fleet, wanted, holdStart));
        }
    }

    private boolean isModelRolloutOpen() {
        return trackers.values().stream()
                .anyMatch(
                        tracker ->
                                tracker.isOpen()
                                        && !tracker.isService()
                                        && !tracker.isSuperseded());
    }

    private void gossip(long nowNanos, List<RolloutAction> actions) {
        if (nowNanos < nextGossipNanos) {
            return;
        }
        nextGossipNanos = nowNanos + limits.gossipMillis() * NANOS_PER_MILLI;
        gossipRound++;
        List<HostId> to = nextPeers();
        boolean withRecords = gossipRound % ROUNDS_PER_RECORD == 0;
        for (RolloutTracker tracker : trackers.values()) {
            if (withRecords) {
                RolloutMessage seen = recordSeen(tracker);
                to.forEach(peer -> actions.add(new RolloutAction.SendMessage(peer, seen)));
            }
            if (tracker.isSettled(epochMillis)) {
                continue;
            }
            tracker.pooled().merge(nowNanos, self, domain, incarnation, tracker.local().tallies());
            checkBreaker(nowNanos, tracker, actions);
            RolloutMessage message = evidence(nowNanos, tracker);
            to.forEach(peer -> actions.add(new RolloutAction.SendMessage(peer, message)));
        }
    }

    /** Returns the peers that get evidence in this round. */
    private List<HostId> nextPeers() {
        if (peers.size() <= limits.gossipPeers()) {
            return peers;
        }
        List<HostId> next = new ArrayList<>();
        long first = gossipRound * limits.gossipPeers();
        for (int i = 0; i < limits.gossipPeers(); i++) {
            next.add(peers.get((int) ((first + i) % peers.size())));
        }
        return next;
    }

    private void broadcastRecord(RolloutId id, List<RolloutAction> actions) {
        RolloutMessage seen = recordSeen(trackers.get(id));
        peers.forEach(peer -> actions.add(new RolloutAction.SendMessage(peer, seen)));
    }

    private static RolloutMessage recordSeen(RolloutTracker tracker) {
        return new RolloutMessage.RecordSeen(
                tracker.record().id(), tracker.record().toPayload(), tracker.revision());
    }

    private RolloutMessage evidence(long nowNanos, RolloutTracker tracker) {
        return new RolloutMessage.Evidence(
                tracker.record().id(),
                domain,
                incarnation,
                tracker.breaker().isPresent(),
                coordinators.get(tracker.record().id()).fence(nowNanos),
                tracker.local().tallies());
    }

    private RolloutAction notice(
            RolloutTracker tracker, RolloutAction.Notice.Kind kind, String detail) {
        return new RolloutAction.Notice(tracker.record().id(), kind, epochMillis, detail);
    }

    private void emitSplitIfChanged(long nowNanos, List<RolloutAction> actions) {
        if (!splitMayHaveChanged) {
            return;
        }
        splitMayHaveChanged = false;
        RolloutAction.SplitChanged now =
                TrafficSplits.of(trackers.values(), nowNanos, epochMillis, fleet, domain);
        if (!now.equals(lastSplit)) {
            lastSplit = now;
            actions.add(now);
        }
    }
}
