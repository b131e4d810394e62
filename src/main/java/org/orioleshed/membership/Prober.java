package org.orioleshed.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.random.RandomGenerator;
import org.orioleshed.model.HostId;

/** Keeps the order in which a host pings others, and the pings that wait for an answer. */
final class Prober {
    /** A ping of this host's own. */
    static final class Probe {
        final HostId target;
        final long sentNanos;
        boolean indirect;

        Probe(HostId target, long sentNanos) {
            this.target = target;
            this.sentNanos = sentNanos;
        }
    }

    /** A ping made for another host. */
    record Relay(HostId asker, long sequence, long sentNanos) {}

    private final Random random;
    private final List<HostId> order = new ArrayList<>();
    private final Map<Long, Probe> probes = new HashMap<>();
    private final Map<Long, Relay> relays = new HashMap<>();
    private long sequence;

    Prober(RandomGenerator random) {
        this.random = Random.from(random);
    }

    /** Returns the next host to ping, each once before any twice; null when there is none. */
    HostId next(List<HostId> candidates) {
        while (!order.isEmpty()) {
            HostId next = order.removeLast();
            if (candidates.contains(next)) {
                return next;
            }
        }
        if (candidates.isEmpty()) {
            return null;
        }
        order.addAll(candidates);
        Collections.shuffle(order, random);
        return order.removeLast();
    }

    long startProbe(HostId target, long nowNanos) {
        probes.put(++sequence, new Probe(target, nowNanos));
        return sequence;
    }

    long startRelay(HostId asker, long askersSequence, long nowNanos) {
        relays.put(++sequence, new Relay(asker, askersSequence, nowNanos));
        return sequence;
    }

    Map<Long, Probe> probes() {
        return probes;
    }

    /** Ends the probe that an answer belongs to. */
    void answered(long answered) {
        probes.remove(answered);
    }

    /** Ends the relay that an answer belongs to; null when there is none. */
    Relay takeRelay(long answered) {
        return relays.remove(answered);
    }

    /** Forgets relays made before {@code beforeNanos}. */
    void dropRelays(long beforeNanos) {
        relays.values().removeIf(relay -> relay.sentNanos() < beforeNanos);
    }

    /** Forgets all pings that wait, after this host itself was paused. */
    void forgetAll() {
        probes.clear();
        relays.clear();
    }
}
