package org.orioleshed.move;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.fleet.World;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Machine;
import org.orioleshed.model.MoveId;
import org.orioleshed.model.Payload;
import org.orioleshed.model.RouteId;

/**
 * The part that one entry host takes in all moves: it gathers evidence, holds a fuse, takes its
 * turn as mover, and says how traffic divides.
 *
 * <p>Every host concludes by itself: the new version gets nothing once the fuse has blown, or once
 * the time is over without a recorded completion, whether or not anyone else can be reached.
 */
public final class MoveCore implements Machine<MoveEvent, MoveAction> {
    static final long NANOS_PER_MILLI = 1_000_000L;

    /** Each so many rounds of evidence, the newest record goes along. */
    private static final int RECORD_ROUNDS = 5;

    private final HostId self;
    private final FailureDomain domain;
    private final long incarnation;
    private final MoveLimits limits;
    private final MoverTurn turn;
    private final Map<MoveId, MoveRun> runs = new TreeMap<>();
    private final Map<MoveId, Mover> movers = new HashMap<>();
    private final Map<RouteId, List<MoveRun>> runsByRoute = new HashMap<>();
    private final Map<MoveId, Long> badRevisions = new HashMap<>();
    private World world = World.EMPTY;
    private List<HostId> peers = List.of();
    private long epochMillis;
    private long lastTicket;
    private long nextGossipNanos = Long.MIN_VALUE;
    private long nextListNanos = Long.MIN_VALUE;
    private long gossipRound;

    /** Whether the division of traffic may have changed. */
    private boolean unsaid;

    private MoveAction.SplitChanged said =
            new MoveAction.SplitChanged(Map.of(), Map.of(), Set.of());

    /**
     * Makes the machine of one start of a host.
     *
     * @param self the host
     * @param domain its failure domain
     * @param incarnation grows with each start of the host
     * @param limits the numbers to go by
     */
    public MoveCore(HostId self, FailureDomain domain, long incarnation, MoveLimits limits) {
        if (self == null || domain == null || limits == null) {
            throw new IllegalArgumentException("host, domain and limits must be given");
        }
        this.self = self;
        this.domain = domain;
        this.incarnation = incarnation;
        this.limits = limits;
        this.turn = new MoverTurn(self);
    }

    @Override
    public List<MoveAction> on(long nowNanos, MoveEvent event) {
        List<MoveAction> actions = new ArrayList<>();
        switch (event) {
            case MoveEvent.Observed observed -> observe(nowNanos, observed, actions);
            case MoveEvent.RecordRead read -> read(nowNanos, read, actions);
            case MoveEvent.RecordsListed listed ->
                    listed.records().forEach(read -> read(nowNanos, read, actions));
            case MoveEvent.LeaseResult result ->
                    movers.values()
                            .forEach(mover -> actions.addAll(mover.onLease(nowNanos, result)));
            case MoveEvent.SwapResult result -> swapped(nowNanos, result, actions);
            case MoveEvent.PeerReceived received -> received(nowNanos, received, actions);
            case MoveEvent.WorldChanged changed -> changeWorld(changed.world());
            case MoveEvent.OrderAnswered answered -> {}
            case MoveEvent.StateRead state ->
                    state.version()
                            .ifPresent(
                                    version ->
                                            movers.values()
                                                    .forEach(
                                                            mover ->
                                                                    mover.orders()
                                                                            .onState(
                                                                                    state.server(),
                                                                                    version)));
            case MoveEvent.Tick tick -> tick(nowNanos, tick.epochMillis(), actions);
        }
        sayIfChanged(nowNanos, actions);
        return actions;
    }

    /** Returns what is known of each move, for operators. */
    public List<MoveStatus> status(long nowNanos) {
        List<MoveStatus> all = new ArrayList<>();
        for (MoveRun run : runs.values()) {
            all.add(
                    new MoveStatus(
                            run.record(),
                            run.revision(),
                            run.share(nowNanos, epochMillis, world),
                            run.fuse(),
                            movers.get(run.record().id()).fence(nowNanos),
                            run.pooled().newRuns(),
                            run.pooled().alarm(),
                            run.pooled().proofOfEachRoute()));
        }
        return all;
    }

    private void observe(long nowNanos, MoveEvent.Observed observed, List<MoveAction> actions) {
        for (MoveRun run : runsByRoute.getOrDefault(observed.route(), List.of())) {
            if (run.isOver(epochMillis) || run.isSuperseded()) {
                continue;
            }
            run.local()
                    .observe(
                            nowNanos,
                            observed.route(),
                            observed.version(),
                            observed.server(),
                            run.generation(observed.server(), world),
                            observed.result());
            if (observed.version().equals(run.record().to())) {
                checkFuse(nowNanos, run, actions);
            }
        }
    }

    private void checkFuse(long nowNanos, MoveRun run, List<MoveAction> actions) {
        run.alarm().ifPresent(reason -> blow(nowNanos, run, reason, peers, actions));
    }

    private void blow(
            long nowNanos,
            MoveRun run,
            String reason,
            Collection<HostId> toTell,
            List<MoveAction> actions) {
        if (!run.blow(reason)) {
            return;
        }
        unsaid = true;
        MoveAction.Notice.Kind kind =
                run.isOpen()
                        ? MoveAction.Notice.Kind.FUSE
                        : MoveAction.Notice.Kind.FAULT_AFTER_COMPLETION;
        actions.add(notice(run, kind, reason));
        MoveMessage message = evidence(nowNanos, run);
        toTell.forEach(peer -> actions.add(new MoveAction.SendMove(peer, message)));
    }

    private void read(long nowNanos, MoveEvent.RecordRead read, List<MoveAction> actions) {
        Mover mover = movers.get(read.move());
        if (mover != null) {
            mover.recordRead();
        }
        if (read.value().isEmpty()) {
            return;
        }
        Payload value = read.value().get();
        if (learn(nowNanos, read.move(), value, read.revision(), actions)) {
            tellAll(read.move(), actions);
        }
    }

    /** Takes in a record that may be news. Returns whether it was. */
    private boolean learn(
            long nowNanos, MoveId id, Payload value, long revision, List<MoveAction> actions) {
        MoveRun known = runs.get(id);
        if (known != null && revision <= known.revision()) {
            return false;
        }
        try {
            MoveRecord record = MoveRecord.parse(value);
            if (!record.id().equals(id)) {
                throw new BadRecordException("record of another move: " + record.id(), null);
            }
            return adopt(nowNanos, record, revision, actions);
        } catch (BadRecordException e) {
            if (revision > badRevisions.getOrDefault(id, 0L)) {
                badRevisions.put(id, revision);
                actions.add(
                        new MoveAction.Notice(
                                id,
                                MoveAction.Notice.Kind.BAD_RECORD,
                                epochMillis,
                                e.getMessage()));
            }
            return false;
        }
    }

    private boolean adopt(
            long nowNanos, MoveRecord record, long revision, List<MoveAction> actions) {
        MoveRun run = runs.get(record.id());
        boolean wasOpen = run == null || run.isOpen();
        if (run == null) {
            run = new MoveRun(nowNanos, self, record, revision, limits);
            add(nowNanos, run);
        } else if (!run.adopt(nowNanos, record, revision)) {
            return false;
        }
        if (wasOpen && !run.isOpen()) {
            MoveAction.Notice.Kind kind =
                    record.state() == MoveState.COMPLETED
                            ? MoveAction.Notice.Kind.COMPLETED
                            : MoveAction.Notice.Kind.TAKEN_BACK;
            actions.add(notice(run, kind, record.author() + ": " + record.reason()));
        }
        Division.settleRaces(runs.values());
        unsaid = true;
        return true;
    }

    private void add(long nowNanos, MoveRun run) {
        MoveId id = run.record().id();
        runs.put(id, run);
        Payload holder = Payload.of(self + "." + incarnation);
        movers.put(id, new Mover(run, holder, limits, () -> ++lastTicket));
        turn.moveKnown(id, nowNanos);
        for (RouteId route : run.record().routes()) {
            runsByRoute.computeIfAbsent(route, key -> new ArrayList<>()).add(run);
        }
    }

    private void swapped(long nowNanos, MoveEvent.SwapResult result, List<MoveAction> actions) {
        for (Mover mover : movers.values()) {
            actions.addAll(
                    mover.onSwap(
                            nowNanos,
                            result,
                            (record, revision) -> written(nowNanos, record, revision)));
        }
    }

    private List<MoveAction> written(long nowNanos, MoveRecord record, long revision) {
        List<MoveAction> actions = new ArrayList<>();
        adopt(nowNanos, record, revision, actions);
        if (!record.state().isOutcome()) {
            MoveRun run = runs.get(record.id());
            String detail =
                    "step=" + record.step() + " share=" + run.share(nowNanos, epochMillis, world);
            actions.add(notice(run, MoveAction.Notice.Kind.STEP, detail));
        }
        tellAll(record.id(), actions);
        return actions;
    }

    private void received(
            long nowNanos, MoveEvent.PeerReceived received, List<MoveAction> actions) {
        switch (received.message()) {
            case MoveMessage.RecordSeen seen ->
                    learn(nowNanos, seen.move(), seen.record(), seen.revision(), actions);
            case MoveMessage.Evidence evidence -> {
                MoveRun run = runs.get(evidence.move());
                if (run != null) {
                    take(nowNanos, received.from(), run, evidence, actions);
                }
            }
        }
    }

    private void take(
            long nowNanos,
            HostId from,
            MoveRun run,
            MoveMessage.Evidence evidence,
            List<MoveAction> actions) {
        if (evidence.moverFence() > 0) {
            turn.moverHeard(run.record().id(), nowNanos);
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
        if (evidence.fuseBlown()) {
            blow(nowNanos, run, "fuse of " + from, nextPeers(), actions);
        }
        checkFuse(nowNanos, run, actions);
    }

    private void changeWorld(World newWorld) {
        world = newWorld;
        unsaid = true;
        peers =
                world.hosts().values().stream()
                        .filter(host -> host.state() != EntryHost.State.DEAD)
                        .map(EntryHost::id)
                        .filter(id -> !id.equals(self))
                        .sorted()
                        .toList();
        turn.changeHosts(world);
        runs.values().forEach(MoveRun::worldChanged);
    }

    private void tick(long nowNanos, long newEpochMillis, List<MoveAction> actions) {
        epochMillis = newEpochMillis;
        unsaid = true;
        for (MoveRun run : runs.values()) {
            if (run.concludeAtDeadline(epochMillis)) {
                actions.add(
                        notice(
                                run,
                                MoveAction.Notice.Kind.CONCLUDED_BACK,
                                "no completion recorded in time"));
            }
        }
        gossip(nowNanos, actions);
        if (nowNanos >= nextListNanos && turn.lists(domain)) {
            nextListNanos = nowNanos + limits.listMillis() * NANOS_PER_MILLI;
            actions.add(new MoveAction.ListRecords());
        }
        for (MoveRun run : runs.values()) {
            Mover mover = movers.get(run.record().id());
            boolean wanted = turn.isMine(run.record().id(), nowNanos);
            boolean mustWait = run.isService() && isModelMoveOpen();
            actions.addAll(mover.tick(nowNanos, epochMillis, world, wanted, mustWait));
        }
    }

    private boolean isModelMoveOpen() {
        return runs.values().stream()
                .anyMatch(run -> run.isOpen() && !run.isService() && !run.isSuperseded());
    }

    private void gossip(long nowNanos, List<MoveAction> actions) {
        if (nowNanos < nextGossipNanos) {
            return;
        }
        nextGossipNanos = nowNanos + limits.gossipMillis() * NANOS_PER_MILLI;
        gossipRound++;
        List<HostId> to = nextPeers();
        boolean withRecords = gossipRound % RECORD_ROUNDS == 0;
        for (MoveRun run : runs.values()) {
            if (withRecords) {
                MoveMessage seen = recordSeen(run);
                to.forEach(peer -> actions.add(new MoveAction.SendMove(peer, seen)));
            }
            if (run.isOver(epochMillis)) {
                continue;
            }
            run.pooled().merge(nowNanos, self, domain, incarnation, run.local().tallies());
            checkFuse(nowNanos, run, actions);
            MoveMessage message = evidence(nowNanos, run);
            to.forEach(peer -> actions.add(new MoveAction.SendMove(peer, message)));
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

    private void tellAll(MoveId id, List<MoveAction> actions) {
        MoveMessage seen = recordSeen(runs.get(id));
        peers.forEach(peer -> actions.add(new MoveAction.SendMove(peer, seen)));
    }

    private static MoveMessage recordSeen(MoveRun run) {
        return new MoveMessage.RecordSeen(
                run.record().id(), run.record().toPayload(), run.revision());
    }

    private MoveMessage evidence(long nowNanos, MoveRun run) {
        return new MoveMessage.Evidence(
                run.record().id(),
                domain,
                incarnation,
                run.fuse().isPresent(),
                movers.get(run.record().id()).fence(nowNanos),
                run.local().tallies());
    }

    private MoveAction notice(MoveRun run, MoveAction.Notice.Kind kind, String detail) {
        return new MoveAction.Notice(run.record().id(), kind, epochMillis, detail);
    }

    private void sayIfChanged(long nowNanos, List<MoveAction> actions) {
        if (!unsaid) {
            return;
        }
        unsaid = false;
        MoveAction.SplitChanged now =
                Division.of(runs.values(), nowNanos, epochMillis, world, domain);
        if (!now.equals(said)) {
            said = now;
            actions.add(now);
        }
    }
}
