package org.orioleshed.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests the retry times of refused callers. */
public class RetryReservationsTest {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private final RetryReservations retries = new RetryReservations();

    /** Guards against callers that return together and are refused again. */
    @Test
    public void eachRefusalNamesALaterTimeUntilTheReservedWorkIsDone() {
        RetryReservations some = new RetryReservations();
        assertEquals(some.reserve(1, 200, 50, 1_000, 0), 200.0);
        assertEquals(some.reserve(1, 200, 50, 1_000, 0), 250.0);
        assertEquals(some.reserve(1, 200, 50, 1_000, 100 * NANOS_PER_MILLI), 200.0);
        assertEquals(some.reserve(1, 200, 50, 1_000, 900 * NANOS_PER_MILLI), 200.0);
    }

    /** Guards against urgent callers that are told to wait for less urgent ones. */
    @Test
    public void aLessUrgentReservationDoesNotDelayAnUrgentCaller() {
        RetryReservations some = new RetryReservations();
        assertEquals(some.reserve(2, 300, 100, 1_000, 0), 300.0);
        assertEquals(some.reserve(1, 300, 100, 1_000, 0), 300.0);
        assertEquals(some.reserve(2, 300, 100, 1_000, 0), 400.0);
    }

    /** Guards against a common retry time of all callers that capacity does not suffice for. */
    @Test
    public void callersBeyondTheCapacityAreSpreadOverTheLaterHalfOfTheBound() {
        Set<Double> named = new HashSet<>();
        for (int refusal = 0; refusal < 50; refusal++) {
            double millis = retries.reserve(0, 5_000, 7, 3_000, 0);
            assertTrue(millis > 1_500 && millis <= 3_000, "named " + millis);
            named.add(millis);
        }
        assertEquals(named.size(), 50);
    }

    /** Guards against one retry time for all requests that are refused at the same moment. */
    @Test
    public void theSchedulerSpreadsAMomentsRefusalsWithinTheBound() {
        SchedulerFixture fixture = new SchedulerFixture().server("a", 2);
        Set<Long> named = new HashSet<>();
        int refused = 0;
        for (int run = 1; run <= 100; run++) {
            fixture.request(run, SchedulerFixture.requestOf(run, 4_000, Set.of()));
            DispatchAction.Refuse refusal = fixture.refusalOf(run);
            if (refusal != null) {
                refused++;
                named.add(refusal.retryAfterMillis());
                assertTrue(refusal.retryAfterMillis() <= 1_200, refusal.toString());
            }
        }
        assertTrue(refused > 50, "refused " + refused);
        assertTrue(named.size() > 2, "named " + named);
    }
}
