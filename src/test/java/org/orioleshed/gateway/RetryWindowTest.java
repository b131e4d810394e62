package org.orioleshed.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests of {@link RetryWindow}. */
public class RetryWindowTest {
    private static final long SECOND = 1_000_000_000L;

    @Test
    public void keepsWithinTheShareInEveryWindow() {
        RetryWindow window = new RetryWindow(0.2, 10_000);
        int retries = 0;
        for (int i = 0; i < 1_000; i++) {
            long now = i * SECOND / 100;
            window.first(now);
            if (window.take(0, now)) {
                retries++;
            }
        }
        assertTrue(retries <= 200, "repeats " + retries);
        assertTrue(retries >= 100, "repeats " + retries);
    }

    @Test
    public void theFixedPartServesAQuietHost() {
        RetryWindow window = new RetryWindow(0.2, 10_000);
        assertTrue(window.take(7, 0));
        int more = 0;
        while (window.take(7, 0)) {
            more++;
        }
        assertEquals(more, 4);
        assertFalse(window.take(7, 9 * SECOND));
        assertTrue(window.take(7, 11 * SECOND));
    }
}
