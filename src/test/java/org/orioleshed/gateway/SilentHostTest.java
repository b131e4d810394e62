package org.orioleshed.gateway;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of a host's requests and runs while the host is cut off from the others. */
public class SilentHostTest {
    private static final int PRIMARY = 0;
    private static final int SILENT = 1;
    private static final long SETTLE_MILLIS = 5_000;

    /** Silences in milliseconds: undetected, suspected, declared dead, removed from the view. */
    @DataProvider
    Object[][] silences() {
        return new Object[][] {{200L}, {1_500L}, {6_000L}, {40_000L}};
    }

    /** The silent host keeps working; its run stays at a server throughout. */
    @Test(dataProvider = "silences")
    public void aRunIsNeitherRestartedNorAbandoned(long silenceMillis) {
        SteppedHosts all = SteppedHosts.two(4);
        SteppedHost silent = all.get(SILENT);
        silent.runFor(silenceMillis + SETTLE_MILLIS / 2);
        silent.request(1);
        all.run(100);
        assertEquals(silent.outcomes, List.of("1 x by=home"));
        all.partition(SILENT);
        all.run(silenceMillis);
        all.partition(0);
        all.run(SETTLE_MILLIS);
        assertEquals(all.sent().size(), 1);
        assertEquals(silent.outcomes, List.of("1 x by=home"));
    }

    /** A request queued at the primary while its host is cut off is placed at most once. */
    @Test(dataProvider = "silences")
    public void aQueuedRequestIsPlacedOnceOrRefused(long silenceMillis) {
        SteppedHosts all = SteppedHosts.two(1);
        all.get(PRIMARY).runFor(300);
        all.get(PRIMARY).request(1);
        all.get(SILENT).request(2);
        all.partition(SILENT);
        all.run(silenceMillis);
        all.partition(0);
        all.run(SETTLE_MILLIS);
        assertEquals(all.get(SILENT).outcomes.size(), 1);
        long sent = all.sent().stream().filter(it -> it.run().number() == 2).count();
        assertEquals(sent, all.get(SILENT).outcomes.getFirst().contains("by=") ? 1 : 0);
    }
}
