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

/** Membership machines joined by lossy links, on a clock that the test steps. */
final class SteppedFleet {
    static final long STEP_MILLIS = 10;
    private static final long STEP_NANOS = STEP_MILLIS * 1_000_000;
    private static final int STEPS_PER_TICK = 10;
    private static final int STEPS_PER_CHECK = 5;
    private static final int FRAME_BYTES = 40;

    private record Letter(HostId from, HostId to, Payload body) {}

    final Map<HostId, Membership> hosts = new LinkedHashMap<>();
    final Set<HostId> stopped = new HashSet<>();
    final Map<HostId, Long> bytesSent = new LinkedHashMap<>();
    int deaths;
    double loss;
    BiPredicate<HostId, HostId> cut = (from, to) -> false;
    private final List<MembershipEvent.Seed> seeds = new ArrayList<>();
    private final MembershipCodec codec = new MembershipCodec();
    private final Random random;
    private List<Letter> letters = new ArrayList<>();
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

    /** Starts a host anew. */
    void start(int i, long incarnation) {
        FailureDomain domain = new FailureDomain("domain-" + i % 4);
        Member self =
                new Member(id(i), domain, address(i), incarnation, 0, false, Member.Health.ALIVE);
        RandomGenerator hostRandom = new Random(random.nextLong());
        hosts.put(id(i), new Membership(self, MembershipOptions.DEFAULT, hostRandom));
        stopped.remove(id(i));
        act(id(i), new MembershipEvent.Seeded(seeds));
    }

    void act(HostId host, MembershipEvent event) {
        for (MembershipAction action : hosts.get(host).on(nowNanos(), event)) {
            switch (action) {
                case MembershipAction.Send send -> post(host, send);
                case MembershipAction.Died died -> deaths++;
                case MembershipAction.Locate locate -> {}
                case MembershipAction.ViewChanged changed -> {}
            }
        }
    }

    private void post(HostId from, MembershipAction.Send send) {
        byte[] body = codec.encode(send.message());
        bytesSent.merge(from, (long) body.length + FRAME_BYTES, Long::sum);
        if (random.nextDouble() >= loss && !cut.test(from, send.to())) {
            letters.add(new Letter(from, send.to(), Payload.of(body)));
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

    /** Steps until {@code done}, and returns the time that took, in milliseconds. */
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
        List<Letter> arriving = letters;
        letters = new ArrayList<>();
        for (Letter letter : arriving) {
            if (hosts.containsKey(letter.to()) && !stopped.contains(letter.to())) {
                act(letter.to(), new MembershipEvent.Received(letter.from(), decode(letter)));
            }
        }
        int place = 0;
        for (HostId host : List.copyOf(hosts.keySet())) {
            if (step % STEPS_PER_TICK == place++ % STEPS_PER_TICK && !stopped.contains(host)) {
                act(host, new MembershipEvent.Tick());
            }
        }
    }

    private MembershipMessage decode(Letter letter) {
        try {
            return codec.decode(letter.body().toBytes());
        } catch (BadMessageException e) {
            throw new AssertionError(e);
        }
    }

    /** Returns whether every running host holds {@code count} hosts to be in the fleet. */
    boolean allSee(int count) {
        for (Map.Entry<HostId, Membership> host : hosts.entrySet()) {
            if (!stopped.contains(host.getKey()) && host.getValue().members().size() != count) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether every running host holds {@code id} to be leaving, or gone. */
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
