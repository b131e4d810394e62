package org.orioleshed.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.ServerId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests over several hosts that no host sends to an evacuated failure domain, however it learns of
 * the evacuation, and that all hosts learn of its end. {@link SteppedHost} checks after each
 * decision that a host chooses no server whose evacuation it has observed.
 */
public class EvacuationHostsTest {
    private static final int HOSTS = 5;
    private static final int SLOTS = 8;
    private static final int SEEDS = 100;
    private static final int STEPS = 300;

    /** A tenth of what operators tolerate. */
    private static final long PROPAGATION_MILLIS = 500;

    /** Hosts that a faulty network separated find each other again within this time. */
    private static final long SETTLE_MILLIS = 12_000;

    private static final Set<FailureDomain> NONE = Set.of();

    private long number;

    private static SteppedHosts start(int hosts, long seed) {
        SteppedHosts all = new SteppedHosts(hosts, SLOTS, seed);
        all.put("op/config", "1");
        all.put("servers/a", "open@a");
        all.put("servers/b", "open@b");
        all.run(3_000);
        return all;
    }

    private static Set<FailureDomain> domains(String... names) {
        return Set.of(names).stream().map(FailureDomain::new).collect(Collectors.toSet());
    }

    private void request(SteppedHosts all) {
        for (SteppedHost host : all.hosts) {
            if (!host.dead) {
                host.runFor(200);
                host.request(++number);
                host.request(++number);
            }
        }
        all.run(100);
    }

    private static long sentSince(SteppedHosts all, long nanos, String server) {
        return all.sent().stream()
                .filter(one -> one.atNanos() >= nanos && one.server().equals(new ServerId(server)))
                .count();
    }

    private void assertAllObey(SteppedHosts all, String server) {
        long sinceNanos = all.nowNanos();
        for (int i = 0; i < 10; i++) {
            request(all);
        }
        assertEquals(sentSince(all, sinceNanos, server), 0);
        assertTrue(
                sentSince(all, sinceNanos, server.equals("servers/a") ? "servers/b" : "servers/a")
                        > 0);
    }

    @Test
    public void allHostsStopSendingAndResume() {
        SteppedHosts all = start(HOSTS, 1);
        all.put("op/evacuate/a", "{}");
        all.run(PROPAGATION_MILLIS);
        assertAllObey(all, "servers/a");
        all.remove("op/evacuate/a");
        all.run(2 * PROPAGATION_MILLIS);
        long sinceNanos = all.nowNanos();
        request(all);
        request(all);
        assertTrue(sentSince(all, sinceNanos, "servers/a") > 0);
    }

    @Test
    public void hostsWithoutTheStoreLearnOfItFromTheirPeers() {
        SteppedHosts all = start(HOSTS, 2);
        for (int i = 1; i < HOSTS; i++) {
            all.get(i).storeUnavailable = true;
        }
        all.put("op/evacuate/a", "{}");
        all.run(4 * PROPAGATION_MILLIS);
        assertAllObey(all, "servers/a");
        all.remove("op/evacuate/a");
        all.run(4 * PROPAGATION_MILLIS);
        all.hosts.forEach(host -> assertEquals(host.snapshot().evacuated(), NONE));
    }

    @Test
    public void hostsThatPlaceByThemselvesObey() {
        SteppedHosts all = start(2, 3);
        all.partition(1);
        all.put("op/evacuate/a", "{}");
        all.run(SteppedHosts.STEP_NANOS / 1_000_000);
        assertAllObey(all, "servers/a");
        assertTrue(all.get(1).outcomes.stream().anyMatch(it -> it.endsWith("by=own")));
    }

    /** The primary grants a server whose evacuation only the requesting host has observed. */
    @Test
    public void hostThatHoldsAGrantDoesNotSend() {
        SteppedHosts all = start(2, 4);
        SteppedHost follower = all.get(1);
        all.get(0).storeUnavailable = true;
        follower.request(1);
        all.put("op/evacuate/a", "{}");
        all.put("op/evacuate/b", "{}");
        all.run(SteppedHosts.STEP_NANOS / 1_000_000);
        assertEquals(follower.snapshot().evacuated(), domains("a", "b"));
        assertTrue(follower.outcomes.getFirst().endsWith("by=home"), "it holds a grant");
        assertEquals(all.sent(), List.of());
    }

    /** Guards against callers that wait while the primary has not learned of the evacuation. */
    @Test
    public void requestsAreRefusedAtOnceIfOnlyTheirHostObservedTheEvacuation() {
        SteppedHosts all = start(2, 5);
        all.get(0).storeUnavailable = true;
        all.put("op/evacuate/a", "{}");
        all.put("op/evacuate/b", "{}");
        all.run(SteppedHosts.STEP_NANOS / 1_000_000);
        all.get(1).request(1);
        all.deliver();
        assertEquals(all.get(1).outcomes, List.of("1 NO_SERVER"));
    }

    @Test
    public void evacuationThatEndsAtOnceLeavesNoTrace() {
        SteppedHosts all = start(HOSTS, 6);
        all.put("op/evacuate/a", "{}");
        all.put("op/evacuate/b", "{}");
        all.remove("op/evacuate/a");
        all.run(2 * PROPAGATION_MILLIS);
        all.hosts.forEach(host -> assertEquals(host.snapshot().evacuated(), domains("b")));
    }

    /** Guards against a host that never learns of a removal while no host watched the store. */
    @Test
    public void endDuringAnOutageOfTheStoreIsFoundInTheNextList() {
        SteppedHosts all = start(HOSTS, 7);
        all.put("op/evacuate/a", "{}");
        all.run(2 * PROPAGATION_MILLIS);
        all.hosts.forEach(host -> host.storeUnavailable = true);
        all.run(PROPAGATION_MILLIS);
        all.remove("op/evacuate/a");
        all.run(PROPAGATION_MILLIS);
        all.hosts.forEach(
                host -> assertEquals(host.snapshot().evacuated(), domains("a"), "no news yet"));
        all.get(2).storeUnavailable = false;
        all.run(6 * PROPAGATION_MILLIS);
        all.hosts.forEach(host -> assertEquals(host.snapshot().evacuated(), NONE));
    }

    @DataProvider
    static Object[][] seeds() {
        return IntStream.rangeClosed(1, SEEDS)
                .mapToObj(seed -> new Object[] {(long) seed})
                .toArray(Object[][]::new);
    }

    /** Domains are evacuated and returned while hosts, the network and the store fail. */
    @Test(dataProvider = "seeds")
    public void allHostsAgreeWithTheStoreAfterFaults(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SteppedHosts all = start(HOSTS, seed);
        number = 0;
        for (int i = 0; i < STEPS; i++) {
            step(all, random);
        }
        heal(all);
        all.run(SETTLE_MILLIS);
        Set<FailureDomain> expected =
                all.entries().stream()
                        .filter(entry -> entry.key().startsWith("op/evacuate/"))
                        .map(entry -> entry.key().substring("op/evacuate/".length()))
                        .map(FailureDomain::new)
                        .collect(Collectors.toSet());
        TreeMap<String, Set<FailureDomain>> differing = new TreeMap<>();
        for (SteppedHost host : all.hosts) {
            assertTrue(host.open.isEmpty(), "never answered: " + host.id + " " + host.open);
            if (!host.snapshot().evacuated().equals(expected)) {
                differing.put(host.id.value(), host.snapshot().evacuated());
            }
        }
        assertTrue(differing.isEmpty(), differing + ", expected " + expected);
    }

    private void step(SteppedHosts all, SplittableRandom random) {
        String key = "op/evacuate/" + (random.nextBoolean() ? "a" : "b");
        SteppedHost host = all.get(random.nextInt(HOSTS));
        switch (random.nextInt(12)) {
            case 0 -> all.put(key, "{}");
            case 1, 2 -> all.remove(key);
            case 3 -> all.partition(random.nextInt(HOSTS));
            case 4 -> all.partition(0);
            case 5 -> host.storeUnavailable = !host.storeUnavailable;
            case 6 -> all.setFaults(random.nextInt(4) * 0.1, 0.1, random.nextInt(5) * 15L);
            case 7 -> {
                int chosen = all.hosts.indexOf(host);
                if (host.dead) {
                    all.restart(chosen);
                } else {
                    all.kill(chosen);
                }
            }
            case 8, 9 -> request(all);
            default -> all.run(20 + random.nextInt(600));
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
}
