package org.orioleshed.fleet;

import static org.testng.Assert.assertTrue;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.orioleshed.model.RouteId;

/** Guards against traffic splits that deviate from their share over consecutive requests. */
class EvenDrawsProperties {
    private static final RouteId ROUTE = new RouteId("r");
    private static final int MAX_DEVIATION = 3;

    @Property(seed = "21", tries = 500)
    void consecutiveDrawsBelowTheShareMatchIt(
            @ForAll long seed,
            @ForAll @DoubleRange(min = 0, max = 1) double share,
            @ForAll @IntRange(min = 1, max = 2_000) int count) {
        EvenDraws draws = new EvenDraws(new SplittableRandom(seed));
        int below = 0;
        for (int i = 0; i < count; i++) {
            double draw = draws.next(ROUTE);
            assertTrue(draw >= 0 && draw < 1);
            below += draw < share ? 1 : 0;
        }
        assertTrue(Math.abs(below - share * count) <= MAX_DEVIATION, below + " of " + count);
    }
}
