package org.orioleshed.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.orioleshed.model.HostId;
import org.orioleshed.model.StateMachine;

/**
 * One host's view of the fleet. Each host pings one other in each period, whatever the fleet's
 * size; news rides on pings and answers, and goes to a few hosts at once when it is fresh. A host
 * that does not answer, not even to others, is suspected; it has some seconds to refute that.
 */
public final class Membership implements StateMachine<MembershipEvent, MembershipAction> {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int RUMORS_PER_MESSAGE = 8;
    private static final int RUMORS_PER_VIEW_PART = 128;
    private static final int TOLD_PER_DOUBLING = 3;
    private static final long PAUSE_MILLIS = 400;

    private final MembershipOptions options;
    private final RandomGenerator random;
    private final MembershipView view = new MembershipView();
    private final RumorQueue news = new RumorQueue();
    private final Prober prober;
    private final HealthClock health = new HealthClock();
    private final HostId self;
    private List<MembershipEvent.Seed> seeds = List.of();
    private List<HostId> reachable = List.of();
    private List<MembershipAction> actions = new ArrayList<>();
    private boolean changed;
    private int roundsLeft;
    private long nowNanos;
    private long tickedNanos;
    private long nextProbeNanos;
    private long nextNewsNanos;
    private long nextSeedNanos;
    private long nextCompareNanos;
    private boolean started;

    /**
     * Makes the view of a host that knows itself only.
     *
     * @param self this host, alive
     * @param options times and bounds
     * @param random spreads load and chooses whom to tell
     */
    public Membership(Member self, MembershipOptions options, RandomGenerator random) {
        this.self = self.id();
        this.options = options;
        this.random = random;
        this.prober = new Prober(random);
        view.put(self);
    }

    /** Returns all members but the dead, this host included. */
    public List<Member> members() {
        return view.members().stream()
                .filter(member -> member.health() != Member.Health.DEAD)
                .map(member -> view.isMarkedLeaving(member.id()) ? member.asLeaving() : member)
                .toList();
    }

    /** Returns what the platform's lists say of hosts and servers. */
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
            case MembershipEvent.Marked marked -> learn(new Rumor.OfMark(marked.mark()));
            case MembershipEvent.LeaveAsked asked -> leave();
        }
        if (changed) {
            actions.add(new MembershipAction.ViewChanged());
            roundsLeft = options.newsRounds();
        }
        handOnNews();
        return actions;
    }

    private void tick() {
        if (!started || nowNanos - tickedNanos > PAUSE_MILLIS * NANOS_PER_MILLI) {
            resume();
        }
        started = true;
        tickedNanos = nowNanos;
        news.dropOld(nowNanos - options.newsAgeMillis() * NANOS_PER_MILLI);
        checkProbes();
        checkSuspects();
        forgetDead();
        if (nowNanos >= nextProbeNanos) {
            nextProbeNanos = after(options.probeMillis());
            probe();
        }
        if (nowNanos >= nextSeedNanos) {
            nextSeedNanos = after(options.seedMillis());
            trySeed();
        }
    }

    /** After a pause of this host, silence of others proves nothing. */
    private void resume() {
        prober.forgetAll();
        health.restartSuspicions(nowNanos);
        nextProbeNanos = nowNanos + random.nextLong(options.probeMillis() * NANOS_PER_MILLI);
        if (!started) {
            nextSeedNanos = nowNanos;
            nextCompareNanos = nowNanos;
        }
    }

    private void receive(MembershipEvent.Received received) {
        HostId from = received.from();
        switch (received.message()) {
            case MembershipMessage.Ping ping -> {
                learnAll(ping.rumors());
                send(
                        from,
                        new MembershipMessage.Ack(ping.sequence(), view.digest(), newsFor(from)));
                compare(from, ping.viewDigest());
            }
            case MembershipMessage.Ack ack -> {
                learnAll(ack.rumors());
                takeAck(from, ack);
            }
            case MembershipMessage.PingWanted wanted -> {
                long sequence = prober.startRelay(from, wanted.sequence(), nowNanos);
                send(wanted.target(), ping(wanted.target(), sequence));
            }
            case MembershipMessage.News told -> learnAll(told.rumors());
            case MembershipMessage.View whole -> {
                learnAll(whole.rumors());
                tellOfItself(from);
                if (whole.wantReply()) {
                    sendView(from, false);
                }
            }
        }
    }

    private void takeAck(HostId from, MembershipMessage.Ack ack) {
        Prober.Relay relay = prober.takeRelay(ack.sequence());
        if (relay != null) {
            send(
                    relay.asker(),
                    new MembershipMessage.Ack(relay.sequence(), ack.viewDigest(), List.of()));
            return;
        }
        prober.answered(ack.sequence());
        compare(from, ack.viewDigest());
    }

    private void probe() {
        HostId target = prober.next(reachable);
        if (target != null) {
            send(target, ping(target, prober.startProbe(target, nowNanos)));
        }
    }

    private void checkProbes() {
        prober.dropRelays(nowNanos - options.probeMillis() * NANOS_PER_MILLI);
        Iterator<Map.Entry<Long, Prober.Probe>> waiting = prober.probes().entrySet().iterator();
        while (waiting.hasNext()) {
            Map.Entry<Long, Prober.Probe> entry = waiting.next();
            Prober.Probe probe = entry.getValue();
            long ageNanos = nowNanos - probe.sentNanos;
            if (!probe.indirect && ageNanos >= options.ackMillis() * NANOS_PER_MILLI) {
                probe.indirect = true;
                askOthers(entry.getKey(), probe.target);
            }
            if (ageNanos >= options.probeMillis() * NANOS_PER_MILLI) {
                waiting.remove();
                suspect(probe.target);
            }
        }
    }

    private void askOthers(long sequence, HostId target) {
        for (HostId helper : chooseOthers(target)) {
            send(helper, new MembershipMessage.PingWanted(sequence, target));
        }
    }

    private void suspect(HostId id) {
        Member member = view.get(id);
        if (member != null && member.health() == Member.Health.ALIVE) {
            learn(new Rumor.OfHost(member.withHealth(Member.Health.SUSPECT)));
            tellOfItself(id);
        }
    }

    private void checkSuspects() {
        long limitNanos = options.suspicionMillis() * NANOS_PER_MILLI;
        for (HostId id : health.overdue(nowNanos, limitNanos)) {
            learn(new Rumor.OfHost(view.get(id).withHealth(Member.Health.DEAD)));
        }
    }

    private void forgetDead() {
        long limitNanos = options.forgetMillis() * NANOS_PER_MILLI;
        health.takeForgotten(nowNanos, limitNanos).forEach(view::forget);
    }

    private void seed(List<MembershipEvent.Seed> given) {
        seeds = given;
        for (MembershipEvent.Seed seed : given) {
            Member known = view.get(seed.id());
            if (known == null || known.health() == Member.Health.DEAD) {
                actions.add(new MembershipAction.Locate(seed.id(), seed.address()));
            }
        }
    }

    /** Tries one host that is not in the view: after a partition, or at the start. */
    private void trySeed() {
        List<HostId> absent = new ArrayList<>();
        for (MembershipEvent.Seed seed : seeds) {
            Member known = view.get(seed.id());
            boolean missing = known == null || known.health() == Member.Health.DEAD;
            if (missing && !seed.id().equals(self)) {
                absent.add(seed.id());
            }
        }
        for (HostId dead : health.dead()) {
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
            accept(member, member.asLeaving());
        }
    }

    private void learnAll(List<Rumor> rumors) {
        rumors.forEach(this::learn);
    }

    private void learn(Rumor rumor) {
        switch (rumor) {
            case Rumor.OfHost host -> learnHost(host.member());
            case Rumor.OfMark of -> {
                if (view.putIfLater(of.mark())) {
                    news.add(rumor, nowNanos);
                    changed = true;
                }
            }
        }
    }

    private void learnHost(Member told) {
        Member known = view.get(told.id());
        if (told.id().equals(self)) {
            learnOfSelf(known, told);
            return;
        }
        if (known == null && told.health() == Member.Health.DEAD) {
            return;
        }
        Member merged = known == null ? told : known.merge(told);
        if (merged.equals(known)) {
            return;
        }
        accept(known, merged);
    }

    private void learnOfSelf(Member known, Member told) {
        if (told.incarnation() > known.incarnation()) {
            return;
        }
        Member merged = known.merge(told);
        if (merged.equals(known)) {
            return;
        }
        int version = Math.max(known.version(), told.version()) + 1;
        accept(known, merged.refuted(version));
    }

    private void accept(Member known, Member merged) {
        view.put(merged);
        news.add(new Rumor.OfHost(merged), nowNanos);
        changed = true;
        boolean moved = known == null || !known.address().equals(merged.address());
        boolean returned =
                known != null
                        && known.health() == Member.Health.DEAD
                        && merged.health() != Member.Health.DEAD;
        if ((moved || returned) && !merged.id().equals(self)) {
            actions.add(new MembershipAction.Locate(merged.id(), merged.address()));
        }
        health.track(merged, nowNanos);
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

    private void handOnNews() {
        if (roundsLeft == 0 || nowNanos < nextNewsNanos) {
            return;
        }
        nextNewsNanos = nowNanos + options.newsMillis() * NANOS_PER_MILLI;
        roundsLeft--;
        List<Rumor> rumors = takeNews();
        if (rumors.isEmpty()) {
            return;
        }
        for (HostId other : chooseOthers(self)) {
            send(other, new MembershipMessage.News(rumors));
        }
    }

    /** Exchanges whole views with a host whose view differs for longer than news needs. */
    private void compare(HostId other, long otherDigest) {
        if (otherDigest == view.digest() || !news.isEmpty() || nowNanos < nextCompareNanos) {
            return;
        }
        nextCompareNanos = after(options.compareMillis());
        sendView(other, true);
    }

    private void sendView(HostId to, boolean wantReply) {
        List<Rumor> all = view.all();
        for (int start = 0; start < all.size(); start += RUMORS_PER_VIEW_PART) {
            int end = Math.min(all.size(), start + RUMORS_PER_VIEW_PART);
            boolean last = end == all.size();
            send(to, new MembershipMessage.View(all.subList(start, end), wantReply && last));
        }
    }

    private MembershipMessage ping(HostId target, long sequence) {
        List<Rumor> rumors = new ArrayList<>();
        rumors.add(ownRumor());
        rumors.addAll(newsFor(target));
        return new MembershipMessage.Ping(sequence, view.digest(), rumors);
    }

    /** Returns news, and what is wrongly held of the receiver, so that it can refute that. */
    private List<Rumor> newsFor(HostId receiver) {
        Member member = view.get(receiver);
        if (member == null || member.health() == Member.Health.ALIVE) {
            return takeNews();
        }
        List<Rumor> rumors = new ArrayList<>(takeNews());
        rumors.add(new Rumor.OfHost(member));
        return rumors;
    }

    private void tellOfItself(HostId id) {
        Member member = view.get(id);
        if (member != null && member.health() != Member.Health.ALIVE) {
            send(id, new MembershipMessage.News(List.of(new Rumor.OfHost(member))));
        }
    }

    private Rumor ownRumor() {
        return new Rumor.OfHost(view.get(self));
    }

    private List<Rumor> takeNews() {
        int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(reachable.size() + 1);
        return news.take(RUMORS_PER_MESSAGE, TOLD_PER_DOUBLING * doublings);
    }

    /** Returns a few other hosts at random, without {@code excluded}. */
    private List<HostId> chooseOthers(HostId excluded) {
        List<HostId> chosen = new ArrayList<>();
        int tries = 2 * options.fanout();
        while (!reachable.isEmpty() && chosen.size() < options.fanout() && tries-- > 0) {
            HostId other = reachable.get(random.nextInt(reachable.size()));
            if (!other.equals(excluded) && !chosen.contains(other)) {
                chosen.add(other);
            }
        }
        return chosen;
    }

    private long after(long millis) {
        long nanos = millis * NANOS_PER_MILLI;
        return nowNanos + nanos - nanos / 20 + random.nextLong(nanos / 10);
    }

    private void send(HostId to, MembershipMessage message) {
        actions.add(new MembershipAction.Send(to, message));
    }
}
