package org.orioleshed.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.orioleshed.catalog.PlainDecoder;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.dispatch.RunKey;
import org.orioleshed.gateway.SteppedHost.Sent;
import org.orioleshed.model.Payload;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Properties of several hosts' decisions while messages are lost, repeated and reordered, hosts
 * die, the network parts and the store is away. Each number of a sequence is one step. What a host
 * itself must never do (choose a server that it knows is leaving, answer a request twice, take an
 * older revision) is checked in {@link SteppedHost} at once.
 */
public class HostsTest {
    private static final int HOSTS = 5;
    private static final int SEEDS = 200;
    private static final int STEPS = 400;
    private static final int KINDS = 100;
    private static final double MOST_REQUESTS = 0.5;
    private static final int SERVERS = 4;
    private static final int SLOTS = 8;
    private static final int MOST_AT_ONCE = 6;
    private static final long RUN_MILLIS = 300;
    private static final double PER_SECOND = 1_000;
    private static final long UNITS = 100;

    private static final double TOLERATED_PART = 0.1;
    private static final double TOLERATED_UNITS = 1_000;

    /** The operators count a quota in windows of this length. */
    private static final long WINDOW_NANOS = 8_000_000_000L;

    /** Requests a second that a server names. */
    private static final double[] LIMITS = {0.3, 1.3, 4.2, 12};

    /** The operators count what goes to a server in windows of this length. */
    private static final long LIMIT_WINDOW_NANOS = 4_000_000_000L;

    /** Longer than a request waits. */
    private static final long LAST_MILLIS = 12_000;

    private long number;
    private long version;

    /**
     * Returns seeds, and for each the part of the steps that are requests whatever else is drawn.
     */
    @DataProvider
    public static Object[][] seeds() {
        return IntStream.rangeClosed(1, SEEDS)
                .mapToObj(seed -> new Object[] {(long) seed})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void promisesHoldUnderFaults(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double requests = random.nextDouble(MOST_REQUESTS);
        SteppedHosts all = start(seed);
        for (int i = 0; i < STEPS; i++) {
            int kind = random.nextDouble() < requests ? 0 : random.nextInt(KINDS);
            step(all, kind, random.nextInt(1 << 20));
        }
        heal(all);
        all.run(LAST_MILLIS);
        checkQuota(all.sent());
        checkOnce(all.sent());
        checkAllAnswered(all);
        checkAgreement(all);
    }

    /** Restarts of hosts, one after the other or together, each with a word before. */
    @Test(dataProvider = "seeds")
    public void promisesHoldWhileHostsLeave(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SteppedHosts all = start(seed);
        for (int i = 0; i < STEPS; i++) {
            int kind = random.nextInt(KINDS);
            int dice = random.nextInt(1 << 20);
            if (kind < 20) {
                leaveOrEnd(all, dice % HOSTS);
            } else {
                step(all, kind, dice);
            }
        }
        heal(all);
        all.run(LAST_MILLIS);
        checkQuota(all.sent());
        checkOnce(all.sent());
        checkAllAnswered(all);
    }

    /** A server names a limit while hosts die, the network parts and messages are lost. */
    @Test(dataProvider = "seeds")
    public void noServerGetsMoreThanTheLimitThatItNamedUnderFaults(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double perSecond = LIMITS[(int) (seed % LIMITS.length)];
        SteppedHosts all = start(seed);
        all.limit("servers/0", perSecond);
        for (int i = 0; i < STEPS; i++) {
            int kind = random.nextBoolean() ? 0 : random.nextInt(KINDS);
            step(all, kind, random.nextInt(1 << 20));
        }
        heal(all);
        all.run(LAST_MILLIS);
        checkLimit(all.sent(), perSecond);
        checkAllAnswered(all);
    }

    /**
     * Over all hosts that know of the limit, no more goes to its server than operators tolerate.
     */
    private static void checkLimit(List<Sent> sent, double perSecond) {
        double allowed = 1.5 * perSecond * LIMIT_WINDOW_NANOS / 1e9 + 5;
        List<Sent> counted =
                sent.stream()
                        .filter(Sent::limitKnown)
                        .filter(one -> one.server().value().equals("servers/0"))
                        .toList();
        int first = 0;
        for (int last = 0; last < counted.size(); last++) {
            long atNanos = counted.get(last).atNanos();
            while (atNanos - counted.get(first).atNanos() >= LIMIT_WINDOW_NANOS) {
                first++;
            }
            if (last - first + 1 > allowed) {
                throw new AssertionError(
                        "%d requests, %.1f allowed, at %d ms: %s"
                                .formatted(
                                        last - first + 1,
                                        allowed,
                                        atNanos / 1_000_000,
                                        givers(counted.subList(first, last + 1))));
            }
        }
    }

    private static void leaveOrEnd(SteppedHosts all, int number) {
        SteppedHost host = all.get(number);
        if (host.dead) {
            all.restart(number);
        } else if (host.leaving) {
            all.kill(number);
        } else {
            host.leave();
        }
    }

    private SteppedHosts start(long seed) {
        SteppedHosts all = new SteppedHosts(HOSTS, SLOTS, seed);
        number = 0;
        version = 0;
        configure(all);
        for (int i = 0; i < SERVERS; i++) {
            all.put("servers/" + i, "open");
        }
        all.run(2_000);
        return all;
    }

    private void configure(SteppedHosts all) {
        version++;
        all.put("op/config", version + "/" + PER_SECOND);
    }

    private void step(SteppedHosts all, int kind, int dice) {
        int chosen = dice % HOSTS;
        int rest = dice / HOSTS;
        if (kind < 60) {
            request(all, chosen, 1 + rest % MOST_AT_ONCE);
        } else if (kind < 78) {
            all.run(new int[] {20, 20, 60, 200, 600, 1_500}[rest % 6]);
        } else if (kind < 84) {
            changeServer(all, rest % SERVERS, rest / SERVERS % 3);
        } else if (kind < 86) {
            configure(all);
        } else if (kind < 91) {
            all.cutOff(rest % 2 * (1 + rest / 2 % (HOSTS - 1)));
        } else if (kind < 95) {
            all.weather(rest % 4 * 0.1, rest / 4 % 3 * 0.1, rest / 12 % 5 * 15L);
        } else if (kind < 98) {
            killOrStart(all, chosen);
        } else {
            all.get(chosen).storeAway = !all.get(chosen).storeAway;
        }
    }

    private void request(SteppedHosts all, int host, int count) {
        SteppedHost target = all.get(host);
        if (target.dead) {
            return;
        }
        target.runFor(RUN_MILLIS);
        for (int i = 0; i < count; i++) {
            target.request(++number, Optional.of(PlainDecoder.WORKSPACE), UNITS);
        }
    }

    private static void changeServer(SteppedHosts all, int server, int how) {
        switch (how) {
            case 0 -> all.put("servers/" + server, "open");
            case 1 -> all.put("servers/" + server, "draining");
            default -> all.remove("servers/" + server);
        }
    }

    private static void killOrStart(SteppedHosts all, int host) {
        if (all.get(host).dead) {
            all.restart(host);
        } else {
            all.kill(host);
        }
    }

    private static void heal(SteppedHosts all) {
        all.cutOff(0);
        all.weather(0, 0, 0);
        for (int i = 0; i < HOSTS; i++) {
            all.get(i).storeAway = false;
            if (all.get(i).dead) {
                all.restart(i);
            }
        }
    }

    /** Over all hosts, no more units go to servers in a window than operators tolerate. */
    private static void checkQuota(List<Sent> sent) {
        double perWindow = PER_SECOND * WINDOW_NANOS / 1e9 + PER_SECOND;
        double allowed = perWindow * (1 + TOLERATED_PART) + TOLERATED_UNITS;
        long units = 0;
        int first = 0;
        for (Sent last : sent) {
            units += last.units();
            while (last.atNanos() - sent.get(first).atNanos() >= WINDOW_NANOS) {
                units -= sent.get(first++).units();
            }
            if (units > allowed) {
                throw new AssertionError(
                        "%d units in a window, %.0f allowed, at %d ms: %s"
                                .formatted(
                                        units,
                                        allowed,
                                        last.atNanos() / 1_000_000,
                                        givers(sent.subList(first, sent.indexOf(last) + 1))));
            }
        }
    }

    private static Map<String, Long> givers(List<Sent> sent) {
        return sent.stream()
                .collect(
                        Collectors.groupingBy(
                                one -> one.run().origin() + " " + one.by(),
                                TreeMap::new,
                                Collectors.counting()));
    }

    private static void checkOnce(List<Sent> sent) {
        Set<RunKey> seen = new HashSet<>();
        for (Sent one : sent) {
            if (!seen.add(one.run())) {
                throw new AssertionError("sent twice: " + one);
            }
        }
    }

    private static void checkAllAnswered(SteppedHosts all) {
        for (SteppedHost host : all.hosts) {
            if (!host.open.isEmpty()) {
                throw new AssertionError("never answered: " + host.id + " " + host.open);
            }
        }
    }

    /** All hosts end with what the store holds. */
    private static void checkAgreement(SteppedHosts all) {
        Set<String> right =
                all.entries().stream()
                        .filter(entry -> !entry.key().startsWith("op/"))
                        .map(entry -> entry.key() + entry.value().equals(open()))
                        .collect(Collectors.toSet());
        for (SteppedHost host : all.hosts) {
            Set<String> known =
                    host.snapshot().servers().stream()
                            .map(HostsTest::describe)
                            .collect(Collectors.toSet());
            if (!known.equals(right)) {
                throw new AssertionError(host.id + " knows " + known + ", not " + right);
            }
        }
    }

    private static Payload open() {
        return Payload.of("open");
    }

    private static String describe(PoolServer server) {
        return server.id() + "" + !server.draining();
    }
}
