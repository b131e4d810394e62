package org.orioleshed.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.random.RandomGenerator;
import org.orioleshed.model.HostId;

/** The order in which a host pings others, and the pings that are not acknowledged yet. */
final class Prober {
    /** A direct ping that this host sent. */
    static final class Probe {
        final HostId target;
        final long sentNanos;
        boolean indirectRequested;

        Probe(HostId target, long sentNanos) {
            this.target = target;
            this.sentNanos = sentNanos;
        }
    }

    /** A ping sent at the request of another host. */
    record Relay(HostId requester, long sequence, long sentNanos) {}

    private final Random random;
    private final List<HostId> order = new ArrayList<>();
    private final Map<Long, Probe> probes = new HashMap<>();
    private final Map<Long, Relay> relays = new HashMap<>();
    private long sequence;

    Prober(RandomGenerator random) {
        this.random = Random.from(random);
    }

    /** Returns the next host to ping, in shuffled rounds; null when there is no candidate. */
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

    long startRelay(HostId requester, long requesterSequence, long nowNanos) {
        relays.put(++sequence, new Relay(requester, requesterSequence, nowNanos));
        return sequence;
    }

    Map<Long, Probe> probes() {
        return probes;
    }

    /** Removes the probe that an acknowledgement belongs to. */
    void completeProbe(long ackedSequence) {
        probes.remove(ackedSequence);
    }

    /** Removes and returns the relay that an acknowledgement belongs to; null if there is none. */
    Relay removeRelay(long ackedSequence) {
        return relays.remove(ackedSequence);
    }

    /** Removes relays sent before {@code beforeNanos}. */
    void removeRelaysBefore(long beforeNanos) {
        relays.values().removeIf(relay -> relay.sentNanos() < beforeNanos);
    }

    /** Removes all pings that are not acknowledged, after a pause of this process. */
    void clear() {
        probes.clear();
        relays.clear();
    }
}
