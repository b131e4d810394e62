package org.orioleshed.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.orioleshed.model.HostId;
import org.orioleshed.model.StateMachine;

/**
 * The membership protocol of one host. Each host pings one other host per period, independent of
 * the size of the fleet. Changes are piggybacked on pings and acknowledgements, and new changes are
 * also gossiped to a few hosts at once. A host that acknowledges neither direct nor indirect pings
 * is suspected, and declared dead unless it refutes that before the suspicion timeout.
 */
public final class Membership implements StateMachine<MembershipEvent, MembershipAction> {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int RUMORS_PER_MESSAGE = 8;
    private static final int RUMORS_PER_VIEW_PART = 128;
    private static final int SENDS_PER_DOUBLING = 3;
    private static final long PAUSE_THRESHOLD_MILLIS = 400;

    private final MembershipOptions options;
    private final RandomGenerator random;
    private final MembershipView view = new MembershipView();
    private final RumorQueue rumorQueue = new RumorQueue();
    private final Prober prober;
    private final HealthTimestamps healthTimestamps = new HealthTimestamps();
    private final HostId self;
    private List<MembershipEvent.Seed> seeds = List.of();
    private List<HostId> reachable = List.of();
    private List<MembershipAction> actions = new ArrayList<>();
    private boolean changed;
    private int gossipRoundsLeft;
    private long nowNanos;
    private long lastTickNanos;
    private long nextProbeNanos;
    private long nextGossipNanos;
    private long nextSeedNanos;
    private long nextSyncNanos;
    private boolean started;

    /**
     * Creates a view that contains only this host.
     *
     * @param self the record of this host, alive
     * @param options intervals, timeouts and bounds
     * @param random the source of jitter and of random peers
     */
    public Membership(Member self, MembershipOptions options, RandomGenerator random) {
        this.self = self.id();
        this.options = options;
        this.random = random;
        this.prober = new Prober(random);
        view.put(self);
    }

    /** Returns all members that are not dead, including this host. */
    public List<Member> members() {
        return view.members().stream()
                .filter(member -> member.health() != Member.Health.DEAD)
                .map(member -> view.isMarkedLeaving(member.id()) ? member.asLeaving() : member)
                .toList();
    }

    /** Returns the stored entries of the platform's host and server lists. */
    public List<PlatformMark> marks() {
        return List.copyOf(view.marks());
    }

    @Override
    public List<MembershipAction> on(long now, MembershipEvent event) {
        nowNanos = now;
        actions = new ArrayList<>();
        changed = false;
        switch (event) {
            case MembershipEvent.Tick tick -> tick();
            case MembershipEvent.Received received -> receive(received);
            case MembershipEvent.Seeded seeded -> seed(seeded.seeds());
            case MembershipEvent.Marked marked -> applyRumor(new Rumor.OfMark(marked.mark()));
            case MembershipEvent.LeaveRequested requested -> leave();
        }
        if (changed) {
            actions.add(new MembershipAction.ViewChanged());
            gossipRoundsLeft = options.gossipRounds();
        }
        gossip();
        return actions;
    }

    private void tick() {
        if (!started || nowNanos - lastTickNanos > PAUSE_THRESHOLD_MILLIS * NANOS_PER_MILLI) {
            resetAfterPause();
        }
        started = true;
        lastTickNanos = nowNanos;
        rumorQueue.removeAddedBefore(nowNanos - options.maxRumorAgeMillis() * NANOS_PER_MILLI);
        checkProbes();
        checkSuspects();
        removeExpiredDead();
        if (nowNanos >= nextProbeNanos) {
            nextProbeNanos = jitteredDeadline(options.probeIntervalMillis());
            probe();
        }
        if (nowNanos >= nextSeedNanos) {
            nextSeedNanos = jitteredDeadline(options.seedIntervalMillis());
            contactAbsentHost();
        }
    }

    /** Resets timeouts: after a pause of this process, missing acknowledgements prove nothing. */
    private void resetAfterPause() {
        prober.clear();
        healthTimestamps.restartSuspicions(nowNanos);
        nextProbeNanos =
                nowNanos + random.nextLong(options.probeIntervalMillis() * NANOS_PER_MILLI);
        if (!started) {
            nextSeedNanos = nowNanos;
            nextSyncNanos = nowNanos;
        }
    }

    private void receive(MembershipEvent.Received received) {
        HostId from = received.from();
        switch (received.message()) {
            case MembershipMessage.Ping ping -> {
                applyAll(ping.rumors());
                send(
                        from,
                        new MembershipMessage.Ack(ping.sequence(), view.digest(), rumorsFor(from)));
                syncIfDifferent(from, ping.viewDigest());
            }
            case MembershipMessage.Ack ack -> {
                applyAll(ack.rumors());
                onAck(from, ack);
            }
            case MembershipMessage.PingRequest request -> {
                long sequence = prober.startRelay(from, request.sequence(), nowNanos);
                send(request.target(), ping(request.target(), sequence));
            }
            case MembershipMessage.Update update -> applyAll(update.rumors());
            case MembershipMessage.View part -> {
                applyAll(part.rumors());
                sendRecordToSubject(from);
                if (part.wantReply()) {
                    sendView(from, false);
                }
            }
        }
    }

    private void onAck(HostId from, MembershipMessage.Ack ack) {
        Prober.Relay relay = prober.removeRelay(ack.sequence());
        if (relay != null) {
            send(
                    relay.requester(),
                    new MembershipMessage.Ack(relay.sequence(), ack.viewDigest(), List.of()));
            return;
        }
        prober.completeProbe(ack.sequence());
        syncIfDifferent(from, ack.viewDigest());
    }

    private void probe() {
        HostId target = prober.next(reachable);
        if (target != null) {
            send(target, ping(target, prober.startProbe(target, nowNanos)));
        }
    }

    private void checkProbes() {
        prober.removeRelaysBefore(nowNanos - options.probeIntervalMillis() * NANOS_PER_MILLI);
        Iterator<Map.Entry<Long, Prober.Probe>> pendingProbes =
                prober.probes().entrySet().iterator();
        while (pendingProbes.hasNext()) {
            Map.Entry<Long, Prober.Probe> entry = pendingProbes.next();
            Prober.Probe probe = entry.getValue();
            long ageNanos = nowNanos - probe.sentNanos;
            if (!probe.indirectRequested
                    && ageNanos >= options.ackTimeoutMillis() * NANOS_PER_MILLI) {
                probe.indirectRequested = true;
                requestIndirectPings(entry.getKey(), probe.target);
            }
            if (ageNanos >= options.probeIntervalMillis() * NANOS_PER_MILLI) {
                pendingProbes.remove();
                suspect(probe.target);
            }
        }
    }

    private void requestIndirectPings(long sequence, HostId target) {
        for (HostId relay : randomPeers(target)) {
            send(relay, new MembershipMessage.PingRequest(sequence, target));
        }
    }

    private void suspect(HostId id) {
        Member member = view.get(id);
        if (member != null && member.health() == Member.Health.ALIVE) {
            applyRumor(new Rumor.OfHost(member.withHealth(Member.Health.SUSPECT)));
            sendRecordToSubject(id);
        }
    }

    private void checkSuspects() {
        long limitNanos = options.suspicionTimeoutMillis() * NANOS_PER_MILLI;
        for (HostId id : healthTimestamps.suspectedFor(nowNanos, limitNanos)) {
            applyRumor(new Rumor.OfHost(view.get(id).withHealth(Member.Health.DEAD)));
        }
    }

    private void removeExpiredDead() {
        long limitNanos = options.deadRetentionMillis() * NANOS_PER_MILLI;
        healthTimestamps.removeDeadFor(nowNanos, limitNanos).forEach(view::remove);
    }

    private void seed(List<MembershipEvent.Seed> newSeeds) {
        seeds = newSeeds;
        for (MembershipEvent.Seed seed : newSeeds) {
            Member current = view.get(seed.id());
            if (current == null || current.health() == Member.Health.DEAD) {
                actions.add(new MembershipAction.Locate(seed.id(), seed.address()));
            }
        }
    }

    /**
     * Sends this host's record to one host that is absent from the view and requests that host's
     * view: at the start, or after a partition.
     */
    private void contactAbsentHost() {
        List<HostId> absent = new ArrayList<>();
        for (MembershipEvent.Seed seed : seeds) {
            Member current = view.get(seed.id());
            boolean missing = current == null || current.health() == Member.Health.DEAD;
            if (missing && !seed.id().equals(self)) {
                absent.add(seed.id());
            }
        }
        for (HostId dead : healthTimestamps.dead()) {
            if (!absent.contains(dead)) {
                absent.add(dead);
            }
        }
        if (absent.isEmpty()) {
            return;
        }
        HostId chosen = absent.get(random.nextInt(absent.size()));
        send(chosen, new MembershipMessage.View(List.of(ownRumor()), true));
    }

    private void leave() {
        Member member = view.get(self);
        if (!member.leaving()) {
            replaceRecord(member, member.asLeaving());
        }
    }

    private void applyAll(List<Rumor> rumors) {
        rumors.forEach(this::applyRumor);
    }

    private void applyRumor(Rumor rumor) {
        switch (rumor) {
            case Rumor.OfHost host -> applyHostRecord(host.member());
            case Rumor.OfMark of -> {
                if (view.putIfNewer(of.mark())) {
                    rumorQueue.add(rumor, nowNanos);
                    changed = true;
                }
            }
        }
    }

    private void applyHostRecord(Member received) {
        Member current = view.get(received.id());
        if (received.id().equals(self)) {
            refuteIfWrong(current, received);
            return;
        }
        if (current == null && received.health() == Member.Health.DEAD) {
            return;
        }
        Member merged = current == null ? received : current.merge(received);
        if (merged.equals(current)) {
            return;
        }
        replaceRecord(current, merged);
    }

    private void refuteIfWrong(Member current, Member received) {
        if (received.incarnation() > current.incarnation()) {
            return;
        }
        Member merged = current.merge(received);
        if (merged.equals(current)) {
            return;
        }
        int version = Math.max(current.version(), received.version()) + 1;
        replaceRecord(current, merged.refuted(version));
    }

    private void replaceRecord(Member current, Member merged) {
        view.put(merged);
        rumorQueue.add(new Rumor.OfHost(merged), nowNanos);
        changed = true;
        boolean addressChanged = current == null || !current.address().equals(merged.address());
        boolean revived =
                current != null
                        && current.health() == Member.Health.DEAD
                        && merged.health() != Member.Health.DEAD;
        if ((addressChanged || revived) && !merged.id().equals(self)) {
            actions.add(new MembershipAction.Locate(merged.id(), merged.address()));
        }
        healthTimestamps.update(merged, nowNanos);
        if (merged.health() == Member.Health.DEAD) {
            actions.add(new MembershipAction.Died(merged.id()));
        }
        refreshReachable();
    }

    private void refreshReachable() {
        reachable =
                view.members().stream()
                        .filter(m -> m.health() != Member.Health.DEAD && !m.id().equals(self))
                        .map(Member::id)
                        .toList();
    }

    private void gossip() {
        if (gossipRoundsLeft == 0 || nowNanos < nextGossipNanos) {
            return;
        }
        nextGossipNanos = nowNanos + options.gossipIntervalMillis() * NANOS_PER_MILLI;
        gossipRoundsLeft--;
        List<Rumor> rumors = takeRumors();
        if (rumors.isEmpty()) {
            return;
        }
        for (HostId other : randomPeers(self)) {
            send(other, new MembershipMessage.Update(rumors));
        }
    }

    /** Exchanges whole views with a host whose view still differs when no rumors are pending. */
    private void syncIfDifferent(HostId other, long otherDigest) {
        if (otherDigest == view.digest() || !rumorQueue.isEmpty() || nowNanos < nextSyncNanos) {
            return;
        }
        nextSyncNanos = jitteredDeadline(options.minSyncIntervalMillis());
        sendView(other, true);
    }

    private void sendView(HostId to, boolean wantReply) {
        List<Rumor> all = view.toRumors();
        for (int start = 0; start < all.size(); start += RUMORS_PER_VIEW_PART) {
            int end = Math.min(all.size(), start + RUMORS_PER_VIEW_PART);
            boolean last = end == all.size();
            send(to, new MembershipMessage.View(all.subList(start, end), wantReply && last));
        }
    }

    private MembershipMessage ping(HostId target, long sequence) {
        List<Rumor> rumors = new ArrayList<>();
        rumors.add(ownRumor());
        rumors.addAll(rumorsFor(target));
        return new MembershipMessage.Ping(sequence, view.digest(), rumors);
    }

    /** Returns rumors, and the receiver's own record unless alive, so that it can refute it. */
    private List<Rumor> rumorsFor(HostId receiver) {
        Member member = view.get(receiver);
        if (member == null || member.health() == Member.Health.ALIVE) {
            return takeRumors();
        }
        List<Rumor> rumors = new ArrayList<>(takeRumors());
        rumors.add(new Rumor.OfHost(member));
        return rumors;
    }

    /** Sends a host its own record unless alive, so that it can refute it. */
    private void sendRecordToSubject(HostId id) {
        Member member = view.get(id);
        if (member != null && member.health() != Member.Health.ALIVE) {
            send(id, new MembershipMessage.Update(List.of(new Rumor.OfHost(member))));
        }
    }

    private Rumor ownRumor() {
        return new Rumor.OfHost(view.get(self));
    }

    private List<Rumor> takeRumors() {
        int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(reachable.size() + 1);
        return rumorQueue.take(RUMORS_PER_MESSAGE, SENDS_PER_DOUBLING * doublings);
    }

    /** Returns up to {@code fanout} reachable hosts at random, without {@code excluded}. */
    private List<HostId> randomPeers(HostId excluded) {
        List<HostId> chosen = new ArrayList<>();
        int attempts = 2 * options.fanout();
        while (!reachable.isEmpty() && chosen.size() < options.fanout() && attempts-- > 0) {
            HostId other = reachable.get(random.nextInt(reachable.size()));
            if (!other.equals(excluded) && !chosen.contains(other)) {
                chosen.add(other);
            }
        }
        return chosen;
    }

    /** Returns the time {@code millis} from now, with a jitter of five percent either way. */
    private long jitteredDeadline(long millis) {
        long nanos = millis * NANOS_PER_MILLI;
        return nowNanos + nanos - nanos / 20 + random.nextLong(nanos / 10);
    }

    private void send(HostId to, MembershipMessage message) {
        actions.add(new MembershipAction.Send(to, message));
    }
}
