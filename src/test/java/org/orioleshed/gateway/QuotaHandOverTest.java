package org.orioleshed.gateway;

import static org.testng.Assert.assertEquals;

import java.util.Map;
import org.orioleshed.dispatch.DispatchEvent;
import org.orioleshed.model.WorkspaceId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of when a hand-over of quotas counts. */
public class QuotaHandOverTest {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final DispatchEvent.QuotasHanded HANDED =
            new DispatchEvent.QuotasHanded(Map.of(new WorkspaceId("w"), 0.5));

    @DataProvider
    Object[][] moments() {
        return new Object[][] {
            // the word comes, this host becomes the primary, it looks; whether the word counts
            {0.0, 0.1, 0.1, true},
            {0.2, 0.1, 0.2, true},
            {0.0, 1.1, 1.1, false},
            {1.3, 0.2, 1.3, false},
        };
    }

    @Test(dataProvider = "moments")
    public void countsAtABeginningOnly(
            double handedSeconds, double begunSeconds, double nowSeconds, boolean counts) {
        QuotaHandOver handOver = new QuotaHandOver();
        handOver.received(HANDED, nanos(handedSeconds));
        handOver.begin(nanos(begunSeconds));
        assertEquals(handOver.take(nanos(nowSeconds)).isPresent(), counts);
    }

    @Test
    public void countsOnce() {
        QuotaHandOver handOver = new QuotaHandOver();
        handOver.begin(nanos(0));
        handOver.received(HANDED, nanos(0.1));
        assertEquals(handOver.take(nanos(0.1)).orElseThrow(), HANDED);
        handOver.received(HANDED, nanos(0.2));
        assertEquals(handOver.take(nanos(0.2)).isPresent(), false);
    }

    private static long nanos(double seconds) {
        return (long) (5 * SECOND_NANOS + seconds * SECOND_NANOS);
    }
}
