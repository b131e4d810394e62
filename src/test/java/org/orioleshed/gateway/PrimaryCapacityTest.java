package org.orioleshed.gateway;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a primary on one of the smallest hosts, through which all placements of a large
 * fleet then pass, and against watchers with the narrowest links.
 */
public class PrimaryCapacityTest {
    private static final int HOSTS = 8;
    private static final List<Integer> LARGE = List.of(4, 5, 7);
    private SteppedHosts hosts;

    @BeforeMethod
    public void startHosts() {
        hosts = new SteppedHosts(HOSTS, 8, 3, number -> LARGE.contains(number) ? 1_500 : 360);
        hosts.put("op/config", "1");
        hosts.put("servers/s", "open");
        hosts.run(6_000);
    }

    private void assertPrimary(int number) {
        String expected = hosts.get(number).id.value();
        for (SteppedHost host : hosts.hosts) {
            assertEquals(host.dispatcher.primaryName(), expected, "at " + host.id);
        }
    }

    @Test
    public void theOldestOfTheLargestHostsIsThePrimary() {
        assertPrimary(4);
    }

    @Test
    public void aRestartedHostOfTheSameClassDoesNotTakeTheRoleBack() {
        hosts.restart(4);
        hosts.run(6_000);
        assertPrimary(5);
    }

    @Test
    public void aLargeHostTakesTheRoleOverFromASmallOne() {
        LARGE.forEach(hosts::kill);
        hosts.run(8_000);
        assertEquals(hosts.get(1).dispatcher.primaryName(), hosts.get(0).id.value());
        LARGE.forEach(hosts::restart);
        hosts.run(8_000);
        assertPrimary(4);
    }

    @Test
    public void largeHostsWatchTheStoreFirst() {
        List<Integer> watchers =
                IntStream.range(0, HOSTS)
                        .filter(number -> hosts.get(number).fleet.watchesStore())
                        .boxed()
                        .toList();
        assertEquals(watchers.size(), 4, "two of each of the two failure domains: " + watchers);
        assertEquals(watchers.containsAll(LARGE), true, watchers.toString());
    }
}
