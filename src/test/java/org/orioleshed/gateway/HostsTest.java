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
 * Tests invariants over several hosts while messages are lost, repeated and reordered, hosts die,
 * the network is partitioned and the store is unavailable. Each test runs a random sequence of
 * steps. Invariants of a single host (it never chooses a server whose draining it has observed,
 * never responds to a request twice, and never adopts an older revision) are checked in {@link
 * SteppedHost} as they occur.
 */
public class HostsTest {
    private static final int HOSTS = 5;
    private static final int SEEDS = 200;
    private static final int STEPS = 400;
    private static final int STEP_KINDS = 100;

    /** The maximum fraction of steps that are requests in addition to the drawn kinds. */
    private static final double MAX_REQUEST_PART = 0.5;

    private static final int SERVERS = 4;
    private static final int SLOTS = 8;
    private static final int MAX_BURST = 6;
    private static final long RUN_MILLIS = 300;
    private static final double QUOTA_UNITS_PER_SECOND = 1_000;
    private static final long UNITS_PER_REQUEST = 100;

    private static final double TOLERATED_PART = 0.1;
    private static final double TOLERATED_UNITS = 1_000;

    /** The window in which operators check a quota. */
    private static final long WINDOW_NANOS = 8_000_000_000L;

    /** The request rate limits that a server states. */
    private static final double[] LIMITS_PER_SECOND = {0.3, 1.3, 4.2, 12};

    /** The window in which operators check a server's request rate. */
    private static final long LIMIT_WINDOW_NANOS = 4_000_000_000L;

    /** Longer than the time limit of a request. */
    private static final long SETTLE_MILLIS = 12_000;

    private long number;
    private long version;

    /** Returns the seeds of the sequences. */
    @DataProvider
    public static Object[][] seeds() {
        return IntStream.rangeClosed(1, SEEDS)
                .mapToObj(seed -> new Object[] {(long) seed})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void invariantsHoldUnderFaults(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double requestPart = random.nextDouble(MAX_REQUEST_PART);
        SteppedHosts all = start(seed);
        for (int i = 0; i < STEPS; i++) {
            int kind = random.nextDouble() < requestPart ? 0 : random.nextInt(STEP_KINDS);
            step(all, kind, random.nextInt(1 << 20));
        }
        heal(all);
        all.run(SETTLE_MILLIS);
        checkQuota(all.sent());
        checkOnce(all.sent());
        checkAllAnswered(all);
        checkAgreement(all);
    }

    /** Hosts restart one after the other or together, each after it announced that it leaves. */
    @Test(dataProvider = "seeds")
    public void invariantsHoldWhileHostsLeave(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SteppedHosts all = start(seed);
        for (int i = 0; i < STEPS; i++) {
            int kind = random.nextInt(STEP_KINDS);
            int draw = random.nextInt(1 << 20);
            if (kind < 20) {
                leaveOrKill(all, draw % HOSTS);
            } else {
                step(all, kind, draw);
            }
        }
        heal(all);
        all.run(SETTLE_MILLIS);
        checkQuota(all.sent());
        checkOnce(all.sent());
        checkAllAnswered(all);
    }

    /**
     * A server states a limit while hosts die, the network is partitioned and messages are lost.
     */
    @Test(dataProvider = "seeds")
    public void noServerReceivesMoreThanItsStatedLimitUnderFaults(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double perSecond = LIMITS_PER_SECOND[(int) (seed % LIMITS_PER_SECOND.length)];
        SteppedHosts all = start(seed);
        all.setLimit("servers/0", perSecond);
        for (int i = 0; i < STEPS; i++) {
            int kind = random.nextBoolean() ? 0 : random.nextInt(STEP_KINDS);
            step(all, kind, random.nextInt(1 << 20));
        }
        heal(all);
        all.run(SETTLE_MILLIS);
        checkLimit(all.sent(), perSecond);
        checkAllAnswered(all);
    }

    /**
     * Checks that the hosts that have seen the limit together send the server no more than
     * operators tolerate.
     */
    private static void checkLimit(List<Sent> sent, double perSecond) {
        double allowed = 1.5 * perSecond * LIMIT_WINDOW_NANOS / 1e9 + 5;
        List<Sent> counted =
                sent.stream()
                        .filter(Sent::limitSeen)
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
                                        countsBySource(counted.subList(first, last + 1))));
            }
        }
    }

    private static void leaveOrKill(SteppedHosts all, int number) {
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
        all.put("op/config", version + "/" + QUOTA_UNITS_PER_SECOND);
    }

    private void step(SteppedHosts all, int kind, int draw) {
        int chosen = draw % HOSTS;
        int rest = draw / HOSTS;
        if (kind < 60) {
            request(all, chosen, 1 + rest % MAX_BURST);
        } else if (kind < 78) {
            all.run(new int[] {20, 20, 60, 200, 600, 1_500}[rest % 6]);
        } else if (kind < 84) {
            changeServer(all, rest % SERVERS, rest / SERVERS % 3);
        } else if (kind < 86) {
            configure(all);
        } else if (kind < 91) {
            all.partition(rest % 2 * (1 + rest / 2 % (HOSTS - 1)));
        } else if (kind < 95) {
            all.setFaults(rest % 4 * 0.1, rest / 4 % 3 * 0.1, rest / 12 % 5 * 15L);
        } else if (kind < 98) {
            killOrStart(all, chosen);
        } else {
            all.get(chosen).storeUnavailable = !all.get(chosen).storeUnavailable;
        }
    }

    private void request(SteppedHosts all, int host, int count) {
        SteppedHost target = all.get(host);
        if (target.dead) {
            return;
        }
        target.runFor(RUN_MILLIS);
        for (int i = 0; i < count; i++) {
            target.request(++number, Optional.of(PlainDecoder.WORKSPACE), UNITS_PER_REQUEST);
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
        all.partition(0);
        all.setFaults(0, 0, 0);
        for (int i = 0; i < HOSTS; i++) {
            all.get(i).storeUnavailable = false;
            if (all.get(i).dead) {
                all.restart(i);
            }
        }
    }

    /** Checks that all hosts together use no more units in a window than operators tolerate. */
    private static void checkQuota(List<Sent> sent) {
        double perWindow = QUOTA_UNITS_PER_SECOND * WINDOW_NANOS / 1e9 + QUOTA_UNITS_PER_SECOND;
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
                                        countsBySource(
                                                sent.subList(first, sent.indexOf(last) + 1))));
            }
        }
    }

    private static Map<String, Long> countsBySource(List<Sent> sent) {
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

    /** Checks that all hosts converge to the servers in the store. */
    private static void checkAgreement(SteppedHosts all) {
        Set<String> expected =
                all.entries().stream()
                        .filter(entry -> !entry.key().startsWith("op/"))
                        .map(entry -> entry.key() + entry.value().equals(open()))
                        .collect(Collectors.toSet());
        for (SteppedHost host : all.hosts) {
            Set<String> actual =
                    host.snapshot().servers().stream()
                            .map(HostsTest::describe)
                            .collect(Collectors.toSet());
            if (!actual.equals(expected)) {
                throw new AssertionError(host.id + " has " + actual + ", not " + expected);
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
