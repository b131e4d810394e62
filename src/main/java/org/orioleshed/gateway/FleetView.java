package org.orioleshed.gateway;

import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
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

/** This host's view of the other hosts, and who of them is the primary of the pools. */
final class FleetView {
    /** A host that vanished may be cut off and go on using quotas; it counts this long. */
    private static final long QUOTA_MEMORY_NANOS = 15_000_000_000L;

    private static final int WATCHERS_PER_DOMAIN = 2;

    /** A start takes about a second; hosts that are killed together are back within some. */
    private static final long TOGETHER_MILLIS = 4_000;

    private static final long START_NANOS = 8_000_000_000L;

    private static final MembershipOptions OPTIONS =
            new MembershipOptions(300, 150, 2_000, 100, 3, 5_000, 3, 150, 5_000, 30_000);

    private final LongSupplier clock;
    private final long startNanos;
    private final Member self;
    private final Membership membership;
    private final MembershipCodec codec = new MembershipCodec();
    private final PeerPort peers;
    private final Listener listener;
    private final Map<HostId, Long> vanishedNanos = new HashMap<>();
    private List<Member> members = List.of();
    private boolean leaving;
    private int registered;
    private long registeredNanos;

    /** Hears of changes, on the data thread. */
    interface Listener {
        void fleetChanged();

        void hostDied(HostId host);
    }

    /**
     * Makes the view of a host that knows itself only.
     *
     * @param clock the monotonic clock, in nanoseconds
     */
    FleetView(
            Member self,
            PeerPort peers,
            RandomGenerator random,
            LongSupplier clock,
            Listener listener) {
        this.clock = clock;
        this.startNanos = clock.getAsLong();
        this.self = self;
        this.peers = peers;
        this.listener = listener;
        this.membership = new Membership(self, OPTIONS, random);
        this.members = membership.members();
    }

    void seed(List<InetSocketAddress> addresses) {
        List<MembershipEvent.Seed> seeds =
                addresses.stream()
                        .map(address -> new MembershipEvent.Seed(hostId(address), address))
                        .filter(seed -> !seed.id().equals(self.id()))
                        .toList();
        apply(membership.on(clock.getAsLong(), new MembershipEvent.Seeded(seeds)));
    }

    /** Returns the id of the host at {@code address}: its IP number. */
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
                    vanishedNanos.put(died.host(), clock.getAsLong());
                    listener.hostDied(died.host());
                }
                case MembershipAction.ViewChanged view -> changed = true;
            }
        }
        if (changed) {
            members = membership.members();
            members.forEach(member -> vanishedNanos.remove(member.id()));
            listener.fleetChanged();
        }
    }

    /** Returns whether this host is about to stop. */
    boolean isLeaving() {
        return leaving;
    }

    /** Returns the hosts that answer and are not about to stop, this one included. */
    List<Member> live() {
        return members.stream().filter(FleetView::isLive).toList();
    }

    /** Returns the other hosts that answer and are not about to stop. */
    List<HostId> others() {
        return live().stream().map(Member::id).filter(id -> !id.equals(self.id())).toList();
    }

    private static boolean isLive(Member member) {
        return member.health() == Member.Health.ALIVE && !member.leaving();
    }

    /**
     * Returns whether this host is one of the two of its failure domain that watch the store for
     * the others, so that calls on the store do not grow with the fleet.
     */
    boolean watchesStore() {
        List<HostId> near =
                members.stream()
                        .filter(member -> member.id().equals(self.id()) || isLive(member))
                        .filter(member -> member.domain().equals(self.domain()))
                        .map(Member::id)
                        .toList();
        return Rendezvous.ranked(near, "store-watcher").indexOf(self.id()) < WATCHERS_PER_DOMAIN;
    }

    /** Returns the primary: the host that has been up longest. */
    Optional<Member> primary() {
        return members.stream()
                .filter(FleetView::isLive)
                .min(Comparator.comparingLong(Member::incarnation).thenComparing(Member::id));
    }

    /** Returns whether {@code host} said in its present incarnation that it is about to stop. */
    boolean isLeaving(Member host) {
        return members.stream()
                .filter(member -> member.id().equals(host.id()))
                .anyMatch(member -> member.leaving() || member.incarnation() != host.incarnation());
    }

    /**
     * Returns whether all hosts that are seen started with this one, lately: then none of them used
     * quotas while they were down.
     */
    boolean startedTogether() {
        return clock.getAsLong() - startNanos < START_NANOS
                && members.stream()
                        .allMatch(
                                member ->
                                        Math.abs(member.incarnation() - self.incarnation())
                                                < TOGETHER_MILLIS);
    }

    /** Takes the number of hosts, this one included, of which something outside tells. */
    void registered(int count) {
        registered = count;
        registeredNanos = clock.getAsLong();
    }

    /** Returns how many hosts may be using quotas, as far as can be told. */
    int known() {
        long nowNanos = clock.getAsLong();
        vanishedNanos.values().removeIf(since -> nowNanos - since > QUOTA_MEMORY_NANOS);
        boolean fresh = nowNanos - registeredNanos < QUOTA_MEMORY_NANOS;
        int seen = Math.max(1, members.size() + vanishedNanos.size());
        return fresh ? Math.max(seen, registered) : seen;
    }
}
