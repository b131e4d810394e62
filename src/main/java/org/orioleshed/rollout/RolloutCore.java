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
 * The part that one entry host takes in all rollouts: it gathers evidence, holds a breaker, takes
 * its turn as coordinator, and says how traffic divides.
 *
 * <p>Every host concludes by itself: the new version gets nothing once the breaker has tripped, or
 * once the time is over without a recorded completion, whether or not anyone else can be reached.
 */
public final class RolloutCore implements StateMachine<RolloutEvent, RolloutAction> {
    static final long NANOS_PER_MILLI = 1_000_000L;

    /** Each so many rounds of evidence, the newest record goes along. */
    private static final int RECORD_ROUNDS = 5;

    private final HostId self;
    private final FailureDomain domain;
    private final long incarnation;
    private final RolloutLimits limits;
    private final CoordinatorTurn turn;
    private final Map<RolloutId, RolloutRun> runs = new TreeMap<>();
    private final Map<RolloutId, RolloutCoordinator> coordinators = new HashMap<>();
    private final Map<RouteId, List<RolloutRun>> runsByRoute = new HashMap<>();
    private final Map<RolloutId, Long> badRevisions = new HashMap<>();
    private FleetSnapshot fleet = FleetSnapshot.EMPTY;
    private List<HostId> peers = List.of();
    private long epochMillis;
    private long lastTicket;
    private long nextGossipNanos = Long.MIN_VALUE;
    private long nextListNanos = Long.MIN_VALUE;
    private long gossipRound;

    /** Whether the traffic split may have changed. */
    private boolean unsaid;

    private RolloutAction.SplitChanged said =
            new RolloutAction.SplitChanged(Map.of(), Map.of(), Set.of());

    /**
     * Makes the machine of one start of a host.
     *
     * @param self the host
     * @param domain its failure domain
     * @param incarnation grows with each start of the host
     * @param limits the numbers to go by
     */
    public RolloutCore(HostId self, FailureDomain domain, long incarnation, RolloutLimits limits) {
        if (self == null || domain == null || limits == null) {
            throw new IllegalArgumentException("host, domain and limits must be given");
        }
        this.self = self;
        this.domain = domain;
        this.incarnation = incarnation;
        this.limits = limits;
        this.turn = new CoordinatorTurn(self);
    }

    @Override
    public List<RolloutAction> on(long nowNanos, RolloutEvent event) {
        List<RolloutAction> actions = new ArrayList<>();
        switch (event) {
            case RolloutEvent.Observed observed -> observe(nowNanos, observed, actions);
            case RolloutEvent.RecordRead read -> read(nowNanos, read, actions);
            case RolloutEvent.RecordsListed listed ->
                    listed.records().forEach(read -> read(nowNanos, read, actions));
            case RolloutEvent.LeaseResult result ->
                    coordinators
                            .values()
                            .forEach(
                                    coordinator ->
                                            actions.addAll(coordinator.onLease(nowNanos, result)));
            case RolloutEvent.SwapResult result -> swapped(nowNanos, result, actions);
            case RolloutEvent.PeerReceived received -> received(nowNanos, received, actions);
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
        sayIfChanged(nowNanos, actions);
        return actions;
    }

    /** Returns what is known of each rollout, for operators. */
    public List<RolloutStatus> status(long nowNanos) {
        List<RolloutStatus> all = new ArrayList<>();
        for (RolloutRun run : runs.values()) {
            all.add(
                    new RolloutStatus(
                            run.record(),
                            run.revision(),
                            run.share(nowNanos, epochMillis, fleet),
                            run.breaker(),
                            coordinators.get(run.record().id()).fence(nowNanos),
                            run.pooled().newRuns(),
                            run.pooled().alarm(),
                            run.pooled().proofOfEachRoute()));
        }
        return all;
    }

    private void observe(
            long nowNanos, RolloutEvent.Observed observed, List<RolloutAction> actions) {
        for (RolloutRun run : runsByRoute.getOrDefault(observed.route(), List.of())) {
            if (run.isOver(epochMillis) || run.isSuperseded()) {
                continue;
            }
            run.local()
                    .observe(
                            nowNanos,
                            observed.route(),
                            observed.version(),
                            observed.server(),
                            run.generation(observed.server(), fleet),
                            observed.result());
            if (observed.version().equals(run.record().to())) {
                checkBreaker(nowNanos, run, actions);
            }
        }
    }

    private void checkBreaker(long nowNanos, RolloutRun run, List<RolloutAction> actions) {
        run.alarm().ifPresent(reason -> trip(nowNanos, run, reason, peers, actions));
    }

    private void trip(
            long nowNanos,
            RolloutRun run,
            String reason,
            Collection<HostId> toTell,
            List<RolloutAction> actions) {
        if (!run.trip(reason)) {
            return;
        }
        unsaid = true;
        RolloutAction.Notice.Kind kind =
                run.isOpen()
                        ? RolloutAction.Notice.Kind.FUSE
                        : RolloutAction.Notice.Kind.FAULT_AFTER_COMPLETION;
        actions.add(notice(run, kind, reason));
        RolloutMessage message = evidence(nowNanos, run);
        toTell.forEach(peer -> actions.add(new RolloutAction.SendMessage(peer, message)));
    }

    private void read(long nowNanos, RolloutEvent.RecordRead read, List<RolloutAction> actions) {
        RolloutCoordinator coordinator = coordinators.get(read.rollout());
        if (coordinator != null) {
            coordinator.recordRead();
        }
        if (read.value().isEmpty()) {
            return;
        }
        Payload value = read.value().get();
        if (learn(nowNanos, read.rollout(), value, read.revision(), actions)) {
            tellAll(read.rollout(), actions);
        }
    }

    /** Takes in a record that may be news. Returns whether it was. */
    private boolean learn(
            long nowNanos,
            RolloutId id,
            Payload value,
            long revision,
            List<RolloutAction> actions) {
        RolloutRun known = runs.get(id);
        if (known != null && revision <= known.revision()) {
            return false;
        }
        try {
            RolloutRecord record = RolloutRecord.parse(value);
            if (!record.id().equals(id)) {
                throw new BadRecordException("record of another move: " + record.id(), null);
            }
            return adopt(nowNanos, record, revision, actions);
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

    private boolean adopt(
            long nowNanos, RolloutRecord record, long revision, List<RolloutAction> actions) {
        RolloutRun run = runs.get(record.id());
        boolean wasOpen = run == null || run.isOpen();
        if (run == null) {
            run = new RolloutRun(nowNanos, self, record, revision, limits);
            add(nowNanos, run);
        } else if (!run.adopt(nowNanos, record, revision)) {
            return false;
        }
        if (wasOpen && !run.isOpen()) {
            RolloutAction.Notice.Kind kind =
                    record.state() == RolloutState.COMPLETED
                            ? RolloutAction.Notice.Kind.COMPLETED
                            : RolloutAction.Notice.Kind.TAKEN_BACK;
            actions.add(notice(run, kind, record.author() + ": " + record.reason()));
        }
        TrafficSplits.settleRaces(runs.values());
        unsaid = true;
        return true;
    }

    private void add(long nowNanos, RolloutRun run) {
        RolloutId id = run.record().id();
        runs.put(id, run);
        Payload holder = Payload.of(self + "." + incarnation);
        coordinators.put(id, new RolloutCoordinator(run, holder, limits, () -> ++lastTicket));
        turn.rolloutObserved(id, nowNanos);
        for (RouteId route : run.record().routes()) {
            runsByRoute.computeIfAbsent(route, key -> new ArrayList<>()).add(run);
        }
    }

    private void swapped(
            long nowNanos, RolloutEvent.SwapResult result, List<RolloutAction> actions) {
        for (RolloutCoordinator coordinator : coordinators.values()) {
            actions.addAll(
                    coordinator.onSwap(
                            nowNanos,
                            result,
                            (record, revision) -> written(nowNanos, record, revision)));
        }
    }

    private List<RolloutAction> written(long nowNanos, RolloutRecord record, long revision) {
        List<RolloutAction> actions = new ArrayList<>();
        adopt(nowNanos, record, revision, actions);
        if (!record.state().isOutcome()) {
            RolloutRun run = runs.get(record.id());
            String detail =
                    "step=" + record.step() + " share=" + run.share(nowNanos, epochMillis, fleet);
            actions.add(notice(run, RolloutAction.Notice.Kind.STEP, detail));
        }
        tellAll(record.id(), actions);
        return actions;
    }

    private void received(
            long nowNanos, RolloutEvent.PeerReceived received, List<RolloutAction> actions) {
        switch (received.message()) {
            case RolloutMessage.RecordSeen seen ->
                    learn(nowNanos, seen.rollout(), seen.record(), seen.revision(), actions);
            case RolloutMessage.Evidence evidence -> {
                RolloutRun run = runs.get(evidence.rollout());
                if (run != null) {
                    take(nowNanos, received.from(), run, evidence, actions);
                }
            }
        }
    }

    private void take(
            long nowNanos,
            HostId from,
            RolloutRun run,
            RolloutMessage.Evidence evidence,
            List<RolloutAction> actions) {
        if (evidence.coordinatorFence() > 0) {
            turn.coordinatorObserved(run.record().id(), nowNanos);
        }
        if (run.isOver(epochMillis)) {
            return;
        }
        run.pooled()
                .merge(
                        nowNanos,
                        from,
                        evidence.domain(),
                        evidence.incarnation(),
                        evidence.tallies());
        if (evidence.breakerTripped()) {
            trip(nowNanos, run, "fuse of " + from, nextPeers(), actions);
        }
        checkBreaker(nowNanos, run, actions);
    }

    private void changeFleet(FleetSnapshot newFleet) {
        fleet = newFleet;
        unsaid = true;
        peers =
                fleet.hosts().values().stream()
                        .filter(host -> host.state() != EntryHost.State.DEAD)
                        .map(EntryHost::id)
                        .filter(id -> !id.equals(self))
                        .sorted()
                        .toList();
        turn.changeHosts(fleet);
        runs.values().forEach(RolloutRun::fleetChanged);
    }

    private void tick(long nowNanos, long newEpochMillis, List<RolloutAction> actions) {
        epochMillis = newEpochMillis;
        unsaid = true;
        for (RolloutRun run : runs.values()) {
            if (run.concludeAtDeadline(epochMillis)) {
                actions.add(
                        notice(
                                run,
                                RolloutAction.Notice.Kind.CONCLUDED_BACK,
                                "no completion recorded in time"));
            }
        }
        gossip(nowNanos, actions);
        if (nowNanos >= nextListNanos && turn.lists(domain)) {
            nextListNanos = nowNanos + limits.listMillis() * NANOS_PER_MILLI;
            actions.add(new RolloutAction.ListRecords());
        }
        for (RolloutRun run : runs.values()) {
            RolloutCoordinator coordinator = coordinators.get(run.record().id());
            boolean wanted = turn.isMine(run.record().id(), nowNanos);
            boolean mustWait = run.isService() && isModelRolloutOpen();
            actions.addAll(coordinator.tick(nowNanos, epochMillis, fleet, wanted, mustWait));
        }
    }

    private boolean isModelRolloutOpen() {
        return runs.values().stream()
                .anyMatch(run -> run.isOpen() && !run.isService() && !run.isSuperseded());
    }

    private void gossip(long nowNanos, List<RolloutAction> actions) {
        if (nowNanos < nextGossipNanos) {
            return;
        }
        nextGossipNanos = nowNanos + limits.gossipMillis() * NANOS_PER_MILLI;
        gossipRound++;
        List<HostId> to = nextPeers();
        boolean withRecords = gossipRound % RECORD_ROUNDS == 0;
        for (RolloutRun run : runs.values()) {
            if (withRecords) {
                RolloutMessage seen = recordSeen(run);
                to.forEach(peer -> actions.add(new RolloutAction.SendMessage(peer, seen)));
            }
            if (run.isOver(epochMillis)) {
                continue;
            }
            run.pooled().merge(nowNanos, self, domain, incarnation, run.local().tallies());
            checkBreaker(nowNanos, run, actions);
            RolloutMessage message = evidence(nowNanos, run);
            to.forEach(peer -> actions.add(new RolloutAction.SendMessage(peer, message)));
        }
    }

    /** Returns the peers whose turn it is to get evidence. */
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

    private void tellAll(RolloutId id, List<RolloutAction> actions) {
        RolloutMessage seen = recordSeen(runs.get(id));
        peers.forEach(peer -> actions.add(new RolloutAction.SendMessage(peer, seen)));
    }

    private static RolloutMessage recordSeen(RolloutRun run) {
        return new RolloutMessage.RecordSeen(
                run.record().id(), run.record().toPayload(), run.revision());
    }

    private RolloutMessage evidence(long nowNanos, RolloutRun run) {
        return new RolloutMessage.Evidence(
                run.record().id(),
                domain,
                incarnation,
                run.breaker().isPresent(),
                coordinators.get(run.record().id()).fence(nowNanos),
                run.local().tallies());
    }

    private RolloutAction notice(RolloutRun run, RolloutAction.Notice.Kind kind, String detail) {
        return new RolloutAction.Notice(run.record().id(), kind, epochMillis, detail);
    }

    private void sayIfChanged(long nowNanos, List<RolloutAction> actions) {
        if (!unsaid) {
            return;
        }
        unsaid = false;
        RolloutAction.SplitChanged now =
                TrafficSplits.of(runs.values(), nowNanos, epochMillis, fleet, domain);
        if (!now.equals(said)) {
            said = now;
            actions.add(now);
        }
    }
}
