package org.orioleshed.soak;

import static org.testng.Assert.assertTrue;

import com.google.common.base.Splitter;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Plays soaks of some seeds: a few fixed ones in each build, and those of {@code -Dsoak.seeds},
 * such as {@code 1-50} or {@code 3,17}, by hand.
 */
public class FaultSoakTest {
    private static final String SEEDS_PROPERTY = "soak.seeds";

    /**
     * All faults at once (7). All that operators plan, under more load than places: found requests
     * that a stopping host took too late or dropped while they waited, and once a host that never
     * heard of a drain (13). The same under usual load: found late ones, and once a workspace
     * beyond its quota (32).
     */
    private static final String USUAL_SEEDS = "7,13,32";

    @DataProvider
    public Object[][] seeds() {
        List<Object[]> rows = new ArrayList<>();
        String text = System.getProperty(SEEDS_PROPERTY, USUAL_SEEDS);
        for (String part : Splitter.on(',').split(text)) {
            List<String> ends = Splitter.on('-').splitToList(part);
            long last = Long.parseLong(ends.getLast());
            for (long seed = Long.parseLong(ends.getFirst()); seed <= last; seed++) {
                rows.add(new Object[] {seed});
            }
        }
        return rows.toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void promisesHoldUnderFaults(long seed) throws IOException, InterruptedException {
        Soak soak = new Soak(seed);
        String broken = soak.play();
        System.out.println(soak.summary());
        assertTrue(broken.isEmpty(), broken);
    }
}
