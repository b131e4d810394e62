package org.orioleshed.gateway;

import static org.testng.Assert.assertEquals;

import java.util.Map;
import org.orioleshed.dispatch.DispatchEvent;
import org.orioleshed.model.WorkspaceId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link QuotaHandOver}: when quota credit from a leaving primary is taken over. */
public class QuotaHandOverTest {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final DispatchEvent.QuotasHandedOver HANDED =
            new DispatchEvent.QuotasHandedOver(Map.of(new WorkspaceId("w"), 0.5));

    @DataProvider
    Object[][] moments() {
        return new Object[][] {
            // message received, this host becomes the primary, credit requested, whether it is
            // valid
            {0.0, 0.1, 0.1, true},
            {0.2, 0.1, 0.2, true},
            {0.0, 1.1, 1.1, false},
            {1.3, 0.2, 1.3, false},
        };
    }

    @Test(dataProvider = "moments")
    public void isTakenOnlyAtTheStartAsPrimary(
            double handedSeconds, double primarySeconds, double nowSeconds, boolean valid) {
        QuotaHandOver handOver = new QuotaHandOver();
        handOver.received(HANDED, nanos(handedSeconds));
        handOver.becamePrimary(nanos(primarySeconds));
        assertEquals(handOver.take(nanos(nowSeconds)).isPresent(), valid);
    }

    @Test
    public void isTakenOnce() {
        QuotaHandOver handOver = new QuotaHandOver();
        handOver.becamePrimary(nanos(0));
        handOver.received(HANDED, nanos(0.1));
        assertEquals(handOver.take(nanos(0.1)).orElseThrow(), HANDED);
        handOver.received(HANDED, nanos(0.2));
        assertEquals(handOver.take(nanos(0.2)).isPresent(), false);
    }

    private static long nanos(double seconds) {
        return (long) (5 * NANOS_PER_SECOND + seconds * NANOS_PER_SECOND);
    }
}
