package org.orioleshed.gateway;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of what becomes of a host's work while others hear nothing of it. */
public class SilentHostTest {
    private static final int PRIMARY = 0;
    private static final int SILENT = 1;
    private static final long SETTLE_MILLIS = 5_000;

    /** Silences in milliseconds: not noticed, suspected, held for dead, forgotten. */
    @DataProvider
    Object[][] silences() {
        return new Object[][] {{200L}, {1_500L}, {6_000L}, {40_000L}};
    }

    /** The silent host goes on by itself; its run is at a server all the while. */
    @Test(dataProvider = "silences")
    public void itsWorkIsNeitherStartedAgainNorGivenUp(long silenceMillis) {
        SteppedHosts all = SteppedHosts.two(4);
        SteppedHost silent = all.get(SILENT);
        silent.runFor(silenceMillis + SETTLE_MILLIS / 2);
        silent.request(1);
        all.run(100);
        assertEquals(silent.told, List.of("1 x by=home"));
        all.cutOff(SILENT);
        all.run(silenceMillis);
        all.cutOff(0);
        all.run(SETTLE_MILLIS);
        assertEquals(all.sent().size(), 1);
        assertEquals(silent.told, List.of("1 x by=home"));
    }

    /** What waited at the primary while its host could not hear it is placed once. */
    @Test(dataProvider = "silences")
    public void whatWaitedIsPlacedOnceOrRefused(long silenceMillis) {
        SteppedHosts all = SteppedHosts.two(1);
        all.get(PRIMARY).runFor(300);
        all.get(PRIMARY).request(1);
        all.get(SILENT).request(2);
        all.cutOff(SILENT);
        all.run(silenceMillis);
        all.cutOff(0);
        all.run(SETTLE_MILLIS);
        assertEquals(all.get(SILENT).told.size(), 1);
        long sent = all.sent().stream().filter(it -> it.run().number() == 2).count();
        assertEquals(sent, all.get(SILENT).told.getFirst().contains("by=") ? 1 : 0);
    }
}
