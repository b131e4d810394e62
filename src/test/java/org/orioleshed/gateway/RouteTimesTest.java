package org.orioleshed.gateway;

import static org.testng.Assert.assertEquals;

import org.orioleshed.model.RouteId;
import org.testng.annotations.Test;

/** Tests of what is remembered of a route's requests. */
public class RouteTimesTest {
    private static final RouteId ROUTE = new RouteId("r");

    private static void add(RouteTimes times, int count, long tookMillis) {
        for (int i = 0; i < count; i++) {
            times.add(ROUTE, tookMillis);
        }
    }

    @Test
    public void saysNothingOfARouteWithFewRequests() {
        RouteTimes times = new RouteTimes();
        assertEquals(times.slowMillis(ROUTE), Long.MAX_VALUE);
        add(times, 15, 10);
        assertEquals(times.slowMillis(ROUTE), Long.MAX_VALUE);
        add(times, 1, 10);
        assertEquals(times.slowMillis(ROUTE), 10);
    }

    @Test
    public void threeOfAHundredAndTwentyEightAreSlow() {
        RouteTimes times = new RouteTimes();
        add(times, 125, 500);
        add(times, 2, 4_900);
        assertEquals(times.slowMillis(ROUTE), 500);
        add(times, 1, 7_600);
        assertEquals(times.slowMillis(ROUTE), 4_900);
    }

    @Test
    public void forgetsWhatWasLongAgo() {
        RouteTimes times = new RouteTimes();
        add(times, 128, 9_000);
        add(times, 128, 100);
        assertEquals(times.slowMillis(ROUTE), 100);
    }

    @Test
    public void keepsABoundedNumberOfRoutes() {
        RouteTimes times = new RouteTimes();
        add(times, 16, 10);
        for (int i = 0; i < 512; i++) {
            times.add(new RouteId("other-" + i), 10);
        }
        assertEquals(times.slowMillis(ROUTE), Long.MAX_VALUE);
    }
}
