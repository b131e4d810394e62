package org.orioleshed.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.orioleshed.membership.Member;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ServiceId;
import org.testng.annotations.Test;

/** Tests of the choice of relays and of the bound on what a relay accepts. */
public class RelaySelectorTest {
    private static final ServiceId POOL = new ServiceId("pool");
    private static final long MILLI = 1_000_000;

    private final Member self = member("a1", "a");
    private final RelaySelector selector = new RelaySelector(self, new SplittableRandom(1));

    private static Member member(String id, String domain) {
        return new Member(
                new HostId(id),
                new FailureDomain(domain),
                new InetSocketAddress("10.0.0.1", 100),
                1,
                0,
                false,
                Member.Health.ALIVE);
    }

    private Optional<String> choose(List<Member> live, Set<HostId> tried, long nowNanos) {
        return selector.choose(live, POOL, tried, nowNanos).map(it -> it.id().value());
    }

    /** Guards against relays that can't reach the pool, and against reports that never expire. */
    @Test
    public void avoidsHostsThatReportedTheSameUntilTheReportExpires() {
        List<Member> live = List.of(self, member("b1", "b"));
        selector.reported(new HostId("b1"), Set.of(POOL), 0);
        assertEquals(choose(live, Set.of(), MILLI), Optional.empty());
        assertEquals(
                choose(live, Set.of(), (RelaySelector.REPORT_MILLIS + 1) * MILLI),
                Optional.of("b1"));
        selector.reported(new HostId("b1"), Set.of(POOL), 0);
        selector.reported(new HostId("b1"), Set.of(), 0);
        assertEquals(choose(live, Set.of(), MILLI), Optional.of("b1"));
        assertEquals(choose(live, Set.of(new HostId("b1")), MILLI), Optional.empty());
    }

    /** Guards against relays in a failure domain that is mostly cut off. */
    @Test
    public void leavesAFailureDomainThatIsMostlyCutOff() {
        List<Member> live = List.of(self, member("a2", "a"), member("a3", "a"), member("b1", "b"));
        selector.reported(new HostId("a2"), Set.of(POOL), 0);
        for (int i = 0; i < 20; i++) {
            assertEquals(choose(live, Set.of(), MILLI), Optional.of("b1"));
        }
    }

    /** Guards against one relay that gets all the work. */
    @Test
    public void balancesByLoad() {
        List<Member> live = new ArrayList<>(List.of(self));
        for (int i = 0; i < 5; i++) {
            live.add(member("b" + i, "b"));
        }
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 50; i++) {
            String chosen = choose(live, Set.of(), MILLI).orElseThrow();
            selector.sent(new HostId(chosen));
            counts.merge(chosen, 1, Integer::sum);
        }
        assertEquals(Set.copyOf(counts.values()), Set.of(10));
        selector.ended(new HostId("b3"));
        assertEquals(choose(live, Set.of(), MILLI), Optional.of("b3"));
        selector.avoid(new HostId("b3"), MILLI);
        assertFalse(choose(live, Set.of(), 2 * MILLI).equals(Optional.of("b3")));
    }

    /** Guards against a relay whose own callers are displaced by other hosts' requests. */
    @Test
    public void aRelayAcceptsNoMoreThanItsOwnWorkOrAMinimum() {
        RelayLimit limit = new RelayLimit();
        for (int i = 0; i < RelayLimit.MIN_IN_FLIGHT; i++) {
            assertTrue(limit.tryAccept(0));
        }
        assertFalse(limit.tryAccept(0));
        assertTrue(limit.tryAccept(RelayLimit.MIN_IN_FLIGHT + 1));
        assertFalse(limit.tryAccept(RelayLimit.MIN_IN_FLIGHT + 1));
        limit.ended();
        limit.ended();
        assertTrue(limit.tryAccept(0));
        while (limit.tryAccept(10_000)) {
            assertTrue(limit.inFlight() <= RelayLimit.MAX_IN_FLIGHT);
        }
        assertEquals(limit.inFlight(), RelayLimit.MAX_IN_FLIGHT);
    }
}
