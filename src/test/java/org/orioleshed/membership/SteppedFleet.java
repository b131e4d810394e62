package org.orioleshed.membership;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.random.RandomGenerator;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Payload;
import org.orioleshed.peer.BadMessageException;

/** A simulated fleet of {@link Membership} instances with lossy links and a stepped clock. */
final class SteppedFleet {
    static final long STEP_MILLIS = 10;
    private static final long STEP_NANOS = STEP_MILLIS * 1_000_000;
    private static final int STEPS_PER_TICK = 10;
    private static final int STEPS_PER_CHECK = 5;
    private static final int FRAME_BYTES = 40;

    private record Envelope(HostId from, HostId to, Payload body) {}

    final Map<HostId, Membership> hosts = new LinkedHashMap<>();
    final Set<HostId> stopped = new HashSet<>();
    final Map<HostId, Long> bytesSent = new LinkedHashMap<>();
    int deaths;
    double lossProbability;
    BiPredicate<HostId, HostId> isPartitioned = (from, to) -> false;
    private final List<MembershipEvent.Seed> seeds = new ArrayList<>();
    private final MembershipCodec codec = new MembershipCodec();
    private final Random random;
    private List<Envelope> inFlight = new ArrayList<>();
    private long step;

    SteppedFleet(int size, long seed) {
        random = new Random(seed);
        for (int i = 0; i < size; i++) {
            seeds.add(new MembershipEvent.Seed(id(i), address(i)));
        }
        for (int i = 0; i < size; i++) {
            start(i, 1);
        }
    }

    static HostId id(int i) {
        return new HostId("entry-" + i);
    }

    private static InetSocketAddress address(int i) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 10_000 + i);
    }

    /** Starts or restarts a host. */
    void start(int i, long incarnation) {
        FailureDomain domain = new FailureDomain("domain-" + i % 4);
        Member self =
                new Member(id(i), domain, address(i), incarnation, 0, false, Member.Health.ALIVE);
        RandomGenerator hostRandom = new Random(random.nextLong());
        hosts.put(id(i), new Membership(self, MembershipOptions.DEFAULT, hostRandom));
        stopped.remove(id(i));
        apply(id(i), new MembershipEvent.Seeded(seeds));
    }

    void apply(HostId host, MembershipEvent event) {
        for (MembershipAction action : hosts.get(host).on(nowNanos(), event)) {
            switch (action) {
                case MembershipAction.Send send -> transmit(host, send);
                case MembershipAction.Died died -> deaths++;
                case MembershipAction.Locate locate -> {}
                case MembershipAction.ViewChanged changed -> {}
            }
        }
    }

    private void transmit(HostId from, MembershipAction.Send send) {
        byte[] body = codec.encode(send.message());
        bytesSent.merge(from, (long) body.length + FRAME_BYTES, Long::sum);
        if (random.nextDouble() >= lossProbability && !isPartitioned.test(from, send.to())) {
            inFlight.add(new Envelope(from, send.to(), Payload.of(body)));
        }
    }

    long nowNanos() {
        return step * STEP_NANOS;
    }

    long nowMillis() {
        return step * STEP_MILLIS;
    }

    void runMillis(long millis) {
        long end = nowMillis() + millis;
        while (nowMillis() < end) {
            step();
        }
    }

    /** Steps until {@code done} or the limit; returns the simulated time taken, in milliseconds. */
    long runUntil(java.util.function.BooleanSupplier done, long limitMillis) {
        long start = nowMillis();
        while (nowMillis() - start < limitMillis) {
            if (step % STEPS_PER_CHECK == 0 && done.getAsBoolean()) {
                break;
            }
            step();
        }
        return nowMillis() - start;
    }

    private void step() {
        step++;
        List<Envelope> arrived = inFlight;
        inFlight = new ArrayList<>();
        for (Envelope envelope : arrived) {
            if (hosts.containsKey(envelope.to()) && !stopped.contains(envelope.to())) {
                apply(
                        envelope.to(),
                        new MembershipEvent.Received(envelope.from(), decode(envelope)));
            }
        }
        int index = 0;
        for (HostId host : List.copyOf(hosts.keySet())) {
            if (step % STEPS_PER_TICK == index++ % STEPS_PER_TICK && !stopped.contains(host)) {
                apply(host, new MembershipEvent.Tick());
            }
        }
    }

    private MembershipMessage decode(Envelope envelope) {
        try {
            return codec.decode(envelope.body().toBytes());
        } catch (BadMessageException e) {
            throw new AssertionError(e);
        }
    }

    /** Returns whether the view of every running host contains {@code count} hosts. */
    boolean allSee(int count) {
        for (Map.Entry<HostId, Membership> host : hosts.entrySet()) {
            if (!stopped.contains(host.getKey()) && host.getValue().members().size() != count) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether every host sees {@code id} as leaving or not at all. */
    boolean allSeeLeaving(HostId id) {
        for (Membership host : hosts.values()) {
            for (Member member : host.members()) {
                if (member.id().equals(id) && !member.leaving()) {
                    return false;
                }
            }
        }
        return true;
    }
}
