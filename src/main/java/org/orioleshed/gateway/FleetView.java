package org.orioleshed.gateway;

import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.orioleshed.catalog.WatchTiming;
import org.orioleshed.dispatch.KnownHosts;
import org.orioleshed.fleet.Rendezvous;
import org.orioleshed.membership.Member;
import org.orioleshed.membership.Membership;
import org.orioleshed.membership.MembershipAction;
import org.orioleshed.membership.MembershipCodec;
import org.orioleshed.membership.MembershipEvent;
import org.orioleshed.membership.MembershipOptions;
import org.orioleshed.model.HostId;
import org.orioleshed.peer.BadMessageException;
import org.orioleshed.peer.MessageKind;
import org.orioleshed.peer.PeerPort;

/** This host's view of the other hosts, and which of them is the primary of the pools. */
final class FleetView {
    /**
     * A host declared dead may be only partitioned and still use quotas, so it counts this long.
     */
    private static final long QUOTA_RETENTION_NANOS = 15_000_000_000L;

    /**
     * The order in which hosts become the primary. All placements pass through it, so hosts with
     * more processor time come first; among those of one class the one that has been up longest, so
     * that a restarted host does not take the role back.
     */
    private static final Comparator<Member> PRIMARY_ORDER =
            Comparator.comparingInt(Member::cpuClass)
                    .reversed()
                    .thenComparingLong(Member::incarnation)
                    .thenComparing(Member::id);

    /** A start takes about a second; hosts that are killed together restart within a few. */
    private static final long COMMON_START_MILLIS = 4_000;

    private static final long RECENT_START_NANOS = 8_000_000_000L;

    private static final MembershipOptions OPTIONS =
            new MembershipOptions(300, 150, 2_000, 100, 3, 5_000, 3, 150, 5_000, 30_000);

    private final LongSupplier clock;
    private final long startNanos;
    private final Member self;
    private final Membership membership;
    private final MembershipCodec codec = new MembershipCodec();
    private final PeerPort peers;
    private final Listener listener;
    private final WatcherElection election;
    private final Map<HostId, Long> diedNanos = new HashMap<>();
    private List<Member> members = List.of();

    /** Ranked when members change: the data thread asks at each tick whether this host watches. */
    private Set<HostId> watchersBefore = Set.of();

    private boolean leaving;
    private int registered;
    private long registeredNanos;

    /** Receives changes, on the data thread. */
    interface Listener {
        void fleetChanged();

        void hostDied(HostId host);
    }

    /**
     * Creates a view that contains only this host.
     *
     * @param clock the monotonic clock, in nanoseconds
     * @param watchTiming when hosts that watch the store are taken over from
     */
    FleetView(
            Member self,
            PeerPort peers,
            RandomGenerator random,
            LongSupplier clock,
            WatchTiming watchTiming,
            Listener listener) {
        this.clock = clock;
        this.startNanos = clock.getAsLong();
        this.self = self;
        this.peers = peers;
        this.listener = listener;
        this.election = new WatcherElection(watchTiming);
        this.membership = new Membership(self, OPTIONS, random);
        this.members = membership.members();
        this.watchersBefore = rankWatchersBefore();
    }

    void seed(List<InetSocketAddress> addresses) {
        List<MembershipEvent.Seed> seeds =
                addresses.stream()
                        .map(address -> new MembershipEvent.Seed(hostId(address), address))
                        .filter(seed -> !seed.id().equals(self.id()))
                        .toList();
        apply(membership.on(clock.getAsLong(), new MembershipEvent.Seeded(seeds)));
    }

    /** Returns the id of the host at {@code address}: its IP address. */
    static HostId hostId(InetSocketAddress address) {
        return new HostId(address.getAddress().getHostAddress());
    }

    void tick() {
        apply(membership.on(clock.getAsLong(), new MembershipEvent.Tick()));
    }

    void received(HostId from, byte[] body) throws BadMessageException {
        apply(
                membership.on(
                        clock.getAsLong(), new MembershipEvent.Received(from, codec.decode(body))));
    }

    void leave() {
        leaving = true;
        apply(membership.on(clock.getAsLong(), new MembershipEvent.LeaveRequested()));
    }

    private void apply(List<MembershipAction> actions) {
        boolean changed = false;
        for (MembershipAction action : actions) {
            switch (action) {
                case MembershipAction.Send send ->
                        peers.send(send.to(), MessageKind.MEMBERSHIP, codec.encode(send.message()));
                case MembershipAction.Locate locate ->
                        peers.setAddress(locate.host(), locate.address());
                case MembershipAction.Died died -> {
                    changed = true;
                    diedNanos.put(died.host(), clock.getAsLong());
                    listener.hostDied(died.host());
                }
                case MembershipAction.ViewChanged view -> changed = true;
            }
        }
        if (changed) {
            members = membership.members();
            watchersBefore = rankWatchersBefore();
            members.forEach(member -> diedNanos.remove(member.id()));
            listener.fleetChanged();
        }
    }

    /** Returns whether this host is stopping. */
    boolean isLeaving() {
        return leaving;
    }

    /** Returns the hosts that are alive and not stopping, including this one. */
    List<Member> live() {
        return members.stream().filter(FleetView::isLive).toList();
    }

    /** Returns the other hosts that are alive and not stopping. */
    List<HostId> others() {
        return live().stream().map(Member::id).filter(id -> !id.equals(self.id())).toList();
    }

    private static boolean isLive(Member member) {
        return member.health() == Member.Health.ALIVE && !member.leaving();
    }

    /** Returns whether this host watches the store for its failure domain. */
    boolean watchesStore() {
        return election.watches(watchersBefore, clock.getAsLong());
    }

    /** Takes the report of a host that watches the store, see {@link WatcherElection#confirmed}. */
    void watcherReported(HostId host, long confirmedNanos) {
        election.confirmed(host, confirmedNanos);
    }

    /**
     * Returns the live hosts of the failure domain that watch the store rather than this one. Hosts
     * with more processor time come first, since watchers pass changes on to the others.
     */
    private Set<HostId> rankWatchersBefore() {
        List<Member> sameDomain =
                members.stream()
                        .filter(member -> member.id().equals(self.id()) || isLive(member))
                        .filter(member -> member.domain().equals(self.domain()))
                        .toList();
        Set<HostId> before = new HashSet<>();
        sameDomain.stream()
                .filter(member -> member.cpuClass() > self.cpuClass())
                .forEach(member -> before.add(member.id()));
        List<HostId> sameClass =
                sameDomain.stream()
                        .filter(member -> member.cpuClass() == self.cpuClass())
                        .map(Member::id)
                        .toList();
        List<HostId> ranked = Rendezvous.ranked(sameClass, "store-watcher");
        before.addAll(ranked.subList(0, ranked.indexOf(self.id())));
        return before;
    }

    /** Returns the primary: the first live host by processor time, then by time of start. */
    Optional<Member> primary() {
        return members.stream().filter(FleetView::isLive).min(PRIMARY_ORDER);
    }

    /**
     * Returns whether {@code candidate} takes the role of the primary over from {@code current}.
     */
    static boolean precedes(Member candidate, Member current) {
        return PRIMARY_ORDER.compare(candidate, current) < 0;
    }

    /** Returns whether {@code host} is stopping, or has been replaced by another incarnation. */
    boolean isLeaving(Member host) {
        return members.stream()
                .filter(member -> member.id().equals(host.id()))
                .anyMatch(member -> member.leaving() || member.incarnation() != host.incarnation());
    }

    /**
     * Returns whether this host started recently and all visible hosts started at about the same
     * time. Then none of them used quotas while they were down.
     */
    boolean startedTogether() {
        return clock.getAsLong() - startNanos < RECENT_START_NANOS
                && members.stream()
                        .allMatch(
                                member ->
                                        Math.abs(member.incarnation() - self.incarnation())
                                                < COMMON_START_MILLIS);
    }

    /** Takes the number of hosts from a source other than membership, including this one. */
    void registered(int count) {
        registered = count;
        registeredNanos = clock.getAsLong();
    }

    /** Returns the hosts among which servers in a special state are shared without a primary. */
    KnownHosts knownHosts() {
        int assumed = quotaUserCount();
        Set<HostId> possible = new HashSet<>(diedNanos.keySet());
        possible.add(self.id());
        members.forEach(member -> possible.add(member.id()));
        Set<HostId> live = new HashSet<>(others());
        live.add(self.id());
        return new KnownHosts(
                Optional.of(self.id()), List.copyOf(live), List.copyOf(possible), assumed);
    }

    /** Returns the number of hosts that may be using quotas, including dead ones for a while. */
    int quotaUserCount() {
        long nowNanos = clock.getAsLong();
        diedNanos.values().removeIf(since -> nowNanos - since > QUOTA_RETENTION_NANOS);
        boolean fresh = nowNanos - registeredNanos < QUOTA_RETENTION_NANOS;
        int visible = Math.max(1, members.size() + diedNanos.size());
        return fresh ? Math.max(visible, registered) : visible;
    }
}
