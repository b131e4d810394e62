package org.orioleshed.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.orioleshed.catalog.CatalogSnapshot;
import org.orioleshed.membership.Member;
import org.orioleshed.model.HostId;
import org.orioleshed.peer.BadMessageException;
import org.orioleshed.peer.MessageKind;
import org.orioleshed.peer.PeerPort;

/**
 * Spreads the configuration and the servers between hosts. Who watches the store, or hears of a
 * change from it, tells the hosts of its failure domain at once; each host tells a random one now
 * and then; who is behind asks the first that is ahead.
 */
final class CatalogPropagation {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** A host that is cut off from the store hears within about a second. */
    private static final long TELL_MILLIS = 500;

    /** A peer's word of a change may be ahead of the store's own by this much. */
    private static final long PATIENCE_MILLIS = 120;

    /** A peer's answer comes within this time, unless it is lost. */
    private static final long ANSWER_MILLIS = 250;

    private final Member self;
    private final PeerPort peers;
    private final FleetView fleet;
    private final Consumer<CatalogUpdate.Content> adopter;
    private final LongSupplier clock;
    private final RandomGenerator random;
    private final Consumer<String> log;
    private final CatalogUpdateCodec codec = new CatalogUpdateCodec();
    private final Deque<Hint> hints = new ArrayDeque<>();
    private CatalogSnapshot snapshot = CatalogSnapshot.NOTHING;
    private CatalogUpdate.Revisions heard = new CatalogUpdate.Revisions(0, 0);
    private CatalogUpdate.Revisions told = new CatalogUpdate.Revisions(0, 0);
    private CatalogUpdate.Revisions requested = new CatalogUpdate.Revisions(0, 0);
    private long requestedNanos;
    private long toldNanos;

    /** Someone is ahead; look again when the store should have told the same. */
    private record Hint(HostId from, CatalogUpdate.Revisions revisions, long dueNanos) {}

    /**
     * Makes one that knows nothing.
     *
     * @param adopter takes what peers know
     * @param clock the monotonic clock, in nanoseconds
     */
    CatalogPropagation(
            Member self,
            PeerPort peers,
            FleetView fleet,
            Consumer<CatalogUpdate.Content> adopter,
            LongSupplier clock,
            RandomGenerator random,
            Consumer<String> log) {
        this.self = self;
        this.peers = peers;
        this.fleet = fleet;
        this.adopter = adopter;
        this.clock = clock;
        this.random = random;
        this.log = log;
    }

    /** Something newer is in force here. */
    void changed(CatalogSnapshot newer) {
        snapshot = newer;
        CatalogUpdate.Revisions own = CatalogUpdate.Revisions.of(newer);
        boolean fromStore = !latest(heard, own).equals(heard);
        if (!own.equals(told) && (fromStore || fleet.watchesStore())) {
            told = own;
            fleet.live().stream()
                    .filter(member -> member.domain().equals(self.domain()))
                    .forEach(member -> tell(member.id(), own));
        }
    }

    private static CatalogUpdate.Revisions latest(
            CatalogUpdate.Revisions one, CatalogUpdate.Revisions other) {
        return new CatalogUpdate.Revisions(
                Math.max(one.operators(), other.operators()),
                Math.max(one.servers(), other.servers()));
    }

    private void tell(HostId to, CatalogUpdate update) {
        if (!to.equals(self.id())) {
            peers.send(to, MessageKind.CATALOG, codec.encode(update));
        }
    }

    /** Takes a message of a peer. */
    void received(HostId from, byte[] body) throws BadMessageException {
        switch (codec.decode(body)) {
            case CatalogUpdate.Revisions revisions -> hear(from, revisions);
            case CatalogUpdate.Wanted wanted -> {
                CatalogUpdate.Content answer = wanted.answer(snapshot);
                if (!answer.isEmpty()) {
                    tell(from, answer);
                }
            }
            case CatalogUpdate.Content content -> {
                content.operators().ifPresent(it -> heardOf(it.changed(), 0));
                content.servers().ifPresent(it -> heardOf(0, it.changed()));
                adopter.accept(content);
            }
        }
    }

    private void heardOf(long operators, long servers) {
        heard = latest(heard, new CatalogUpdate.Revisions(operators, servers));
    }

    private void hear(HostId from, CatalogUpdate.Revisions revisions) {
        if (!isBehind(revisions)) {
            return;
        }
        long patienceMillis = fleet.watchesStore() ? PATIENCE_MILLIS : 0;
        hints.add(new Hint(from, revisions, clock.getAsLong() + patienceMillis * NANOS_PER_MILLI));
        followHints(clock.getAsLong());
    }

    private boolean isBehind(CatalogUpdate.Revisions other) {
        return snapshot.isBehind(other.operators(), other.servers());
    }

    /** Does what is due. */
    void tick() {
        long nowNanos = clock.getAsLong();
        followHints(nowNanos);
        if (nowNanos - toldNanos >= TELL_MILLIS * NANOS_PER_MILLI) {
            toldNanos = nowNanos;
            List<Member> live = fleet.live();
            if (!live.isEmpty()) {
                HostId chosen = live.get(random.nextInt(live.size())).id();
                tell(chosen, CatalogUpdate.Revisions.of(snapshot));
            }
        }
    }

    private void followHints(long nowNanos) {
        while (!hints.isEmpty() && nowNanos - hints.peek().dueNanos() >= 0) {
            Hint hint = hints.poll();
            boolean underWay =
                    nowNanos - requestedNanos < ANSWER_MILLIS * NANOS_PER_MILLI
                            && latest(requested, hint.revisions()).equals(requested);
            if (!underWay && isBehind(hint.revisions())) {
                request(hint, nowNanos);
            }
        }
    }

    private void request(Hint hint, long nowNanos) {
        requestedNanos = nowNanos;
        requested = hint.revisions();
        log.accept(
                "event=catalog_behind from=%s operators_revision=%d own=%d servers_revision=%d own=%d"
                        .formatted(
                                hint.from(),
                                hint.revisions().operators(),
                                snapshot.operators().revision(),
                                hint.revisions().servers(),
                                snapshot.entries().revision()));
        tell(hint.from(), CatalogUpdate.Wanted.by(snapshot));
    }
}
