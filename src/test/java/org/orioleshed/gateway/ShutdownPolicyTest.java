package org.orioleshed.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link ShutdownPolicy}: which requests a stopping host accepts, and when it ends. */
public class ShutdownPolicyTest {
    private static final long GRACE_MILLIS = 8_000;
    private static final long STOP_NANOS = 5_000_000_000L;

    private static long nanos(long sinceMillis) {
        return STOP_NANOS + sinceMillis * 1_000_000;
    }

    private static ShutdownPolicy stopping() {
        ShutdownPolicy policy = new ShutdownPolicy(GRACE_MILLIS);
        policy.begin(STOP_NANOS);
        return policy;
    }

    @Test
    public void acceptsAllBeforeTheStopSignal() {
        ShutdownPolicy policy = new ShutdownPolicy(GRACE_MILLIS);
        assertTrue(policy.accepts(60_000, STOP_NANOS));
        assertFalse(policy.mustEndAll(Long.MAX_VALUE / 2));
    }

    @DataProvider
    Object[][] requests() {
        return new Object[][] {
            // since the stop signal, time limit, accepted
            {0, 12_000, true},
            {2_399, 12_000, true},
            {2_400, 12_000, false},
            // From an incident: a request that arrived after the balancer had stopped routing here.
            {3_000, 10_000, false},
            {3_000, 2_500, true},
            {6_700, 600, true},
            {6_701, 600, false},
            {7_300, 1, false},
        };
    }

    @Test(dataProvider = "requests")
    public void acceptsRequestsThatEndBeforeTheHost(
            long sinceMillis, long limitMillis, boolean accepted) {
        assertEquals(stopping().accepts(limitMillis, nanos(sinceMillis)), accepted);
    }

    @DataProvider
    Object[][] gracePeriods() {
        return new Object[][] {
            // grace period, end of the balancer's delay, end of service, end of final responses
            {30_000, 2_400, 29_300, 29_650},
            {8_000, 2_400, 7_300, 7_650},
            {3_000, 1_500, 2_700, 2_850},
            {500, 250, 450, 475},
        };
    }

    @Test(dataProvider = "gracePeriods")
    public void endsWithinTheGracePeriod(
            long graceMillis, long balancerMillis, long endMillis, long finalMillis) {
        ShutdownPolicy policy = new ShutdownPolicy(graceMillis);
        policy.begin(STOP_NANOS);
        assertFalse(policy.mustEndAll(nanos(endMillis - 1)));
        assertTrue(policy.mustEndAll(nanos(endMillis)));
        assertTrue(policy.balancerMayRoute(nanos(balancerMillis - 1)));
        assertFalse(policy.balancerMayRoute(nanos(balancerMillis)));
        assertFalse(policy.isFinalDeadline(nanos(finalMillis - 1)));
        assertTrue(policy.isFinalDeadline(nanos(finalMillis)));
    }
}
