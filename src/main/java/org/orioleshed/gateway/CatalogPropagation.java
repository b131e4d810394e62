package org.orioleshed.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.orioleshed.catalog.CatalogSnapshot;
import org.orioleshed.catalog.WatchTiming;
import org.orioleshed.membership.Member;
import org.orioleshed.model.HostId;
import org.orioleshed.peer.BadMessageException;
import org.orioleshed.peer.MessageKind;
import org.orioleshed.peer.PeerPort;
import org.orioleshed.store.StoreRevision;

/**
 * Propagates the configuration and the servers between hosts. A host that watches the store, or
 * receives a change from it, sends its revisions to the hosts of its failure domain at once, and
 * reports to them how recently the store confirmed its copy. Each host also sends them to a random
 * host at an interval. A host that is behind fetches the changes from the first host that is ahead.
 */
final class CatalogPropagation {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** A host that is cut off from the store receives changes within about a second. */
    private static final long GOSSIP_INTERVAL_MILLIS = 500;

    /** How far revisions received from a peer may be ahead of the host's own store watch. */
    private static final long WATCH_LAG_MILLIS = 120;

    private final Member self;
    private final PeerPort peers;
    private final FleetView fleet;
    private final Consumer<CatalogUpdate.Content> adopter;
    private final WatchTiming timing;
    private final LongSupplier confirmedNanos;
    private final LongSupplier clock;
    private final RandomGenerator random;
    private final Consumer<String> log;
    private final CatalogUpdateCodec codec = new CatalogUpdateCodec();
    private final Deque<Hint> hints = new ArrayDeque<>();
    private CatalogSnapshot snapshot = CatalogSnapshot.EMPTY;
    private CatalogUpdate.Revisions receivedRevisions = CatalogUpdate.Revisions.NONE;
    private CatalogUpdate.Revisions sentRevisions = CatalogUpdate.Revisions.NONE;
    private final CatalogFetches fetches = new CatalogFetches();

    /** The last request and the encoded response to it; many hosts send the same request. */
    private CatalogUpdate.FetchRequest encodedRequest;

    private byte[] encodedChanges;
    private long gossipedNanos;
    private long reportedNanos;

    /** A peer is ahead; compare again once the store watch should have caught up. */
    private record Hint(HostId from, CatalogUpdate.Revisions revisions, long dueNanos) {}

    /**
     * Creates a propagation without a snapshot.
     *
     * @param adopter takes the changes received from peers
     * @param timing how often a host that watches the store reports it
     * @param confirmedNanos when the store last confirmed this host's copy, by the clock
     * @param clock the monotonic clock, in nanoseconds
     */
    CatalogPropagation(
            Member self,
            PeerPort peers,
            FleetView fleet,
            Consumer<CatalogUpdate.Content> adopter,
            WatchTiming timing,
            LongSupplier confirmedNanos,
            LongSupplier clock,
            RandomGenerator random,
            Consumer<String> log) {
        this.self = self;
        this.peers = peers;
        this.fleet = fleet;
        this.adopter = adopter;
        this.timing = timing;
        this.confirmedNanos = confirmedNanos;
        this.clock = clock;
        this.random = random;
        this.log = log;
    }

    /** Takes a newer snapshot of this host. */
    void catalogChanged(CatalogSnapshot newer) {
        snapshot = newer;
        encodedRequest = null;
        CatalogUpdate.Revisions own = CatalogUpdate.Revisions.of(newer);
        boolean fromStore = !latest(receivedRevisions, own).equals(receivedRevisions);
        if (!own.equals(sentRevisions) && (fromStore || fleet.watchesStore())) {
            sentRevisions = own;
            sendToDomain(own);
        }
    }

    private void sendToDomain(CatalogUpdate update) {
        fleet.live().stream()
                .filter(member -> member.domain().equals(self.domain()))
                .forEach(member -> send(member.id(), update));
    }

    private static CatalogUpdate.Revisions latest(
            CatalogUpdate.Revisions one, CatalogUpdate.Revisions other) {
        return new CatalogUpdate.Revisions(
                StoreRevision.max(one.operators(), other.operators()),
                StoreRevision.max(one.servers(), other.servers()));
    }

    private void send(HostId to, CatalogUpdate update) {
        if (!to.equals(self.id())) {
            peers.send(to, MessageKind.CATALOG, codec.encode(update));
        }
    }

    /** Handles a message from a peer. */
    void received(HostId from, byte[] body) throws BadMessageException {
        switch (codec.decode(body)) {
            case CatalogUpdate.Revisions revisions -> receiveRevisions(from, revisions);
            case CatalogUpdate.WatchReport report -> receiveReport(from, report);
            case CatalogUpdate.FetchRequest fetch -> sendChanges(from, fetch);
            case CatalogUpdate.Content content -> {
                fetches.received(content);
                content.operators()
                        .ifPresent(it -> recordReceived(it.changed(), StoreRevision.NONE));
                content.servers().ifPresent(it -> recordReceived(StoreRevision.NONE, it.changed()));
                adopter.accept(content);
            }
        }
    }

    private void sendChanges(HostId to, CatalogUpdate.FetchRequest fetch) {
        if (!fetch.equals(encodedRequest)) {
            CatalogUpdate.Content changes = fetch.changesIn(snapshot);
            encodedRequest = fetch;
            encodedChanges = changes.isEmpty() ? new byte[0] : codec.encode(changes);
        }
        if (encodedChanges.length > 0) {
            peers.send(to, MessageKind.CATALOG, encodedChanges);
        }
    }

    private void recordReceived(StoreRevision operators, StoreRevision servers) {
        receivedRevisions =
                latest(receivedRevisions, new CatalogUpdate.Revisions(operators, servers));
    }

    private void receiveReport(HostId from, CatalogUpdate.WatchReport report) {
        fleet.watcherReported(from, clock.getAsLong() - report.ageMillis() * NANOS_PER_MILLI);
        receiveRevisions(from, report.revisions());
    }

    private void receiveRevisions(HostId from, CatalogUpdate.Revisions revisions) {
        if (!isBehind(revisions)) {
            return;
        }
        long delayMillis = fleet.watchesStore() ? WATCH_LAG_MILLIS : 0;
        hints.add(new Hint(from, revisions, clock.getAsLong() + delayMillis * NANOS_PER_MILLI));
        followHints(clock.getAsLong());
    }

    private boolean isBehind(CatalogUpdate.Revisions other) {
        return snapshot.isBehind(other.operators(), other.servers());
    }

    /** Sends the fetches and gossip that are due. */
    void tick() {
        long nowNanos = clock.getAsLong();
        followHints(nowNanos);
        if (nowNanos - gossipedNanos >= GOSSIP_INTERVAL_MILLIS * NANOS_PER_MILLI) {
            gossipedNanos = nowNanos;
            List<Member> live = fleet.live();
            if (!live.isEmpty()) {
                HostId target = live.get(random.nextInt(live.size())).id();
                send(target, CatalogUpdate.Revisions.of(snapshot));
            }
        }
        long intervalNanos = timing.reportIntervalMillis() * NANOS_PER_MILLI;
        if (nowNanos - reportedNanos >= intervalNanos && fleet.watchesStore()) {
            reportedNanos = nowNanos;
            long ageNanos = Math.max(0, nowNanos - confirmedNanos.getAsLong());
            sendToDomain(
                    new CatalogUpdate.WatchReport(
                            CatalogUpdate.Revisions.of(snapshot), ageNanos / NANOS_PER_MILLI));
        }
    }

    private void followHints(long nowNanos) {
        while (!hints.isEmpty() && nowNanos - hints.peek().dueNanos() >= 0) {
            Hint hint = hints.poll();
            fetches.next(hint.revisions(), snapshot, nowNanos)
                    .ifPresent(fetch -> request(hint, fetch));
        }
    }

    private void request(Hint hint, CatalogUpdate.FetchRequest fetch) {
        log.accept(
                "event=catalog_behind from=%s operators_revision=%s own=%s servers_revision=%s own=%s"
                        .formatted(
                                hint.from(),
                                hint.revisions().operators(),
                                snapshot.operators().revision(),
                                hint.revisions().servers(),
                                snapshot.entries().revision()));
        send(hint.from(), fetch);
    }
}
