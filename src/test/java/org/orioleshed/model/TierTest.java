package org.orioleshed.model;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against tiers without a name, with a negative rank, or ordered the wrong way round. */
public class TierTest {
    @DataProvider
    Object[][] invalidArguments() {
        return new Object[][] {{"", 0}, {" ", 0}, {"urgent", -1}};
    }

    @Test(dataProvider = "invalidArguments", expectedExceptions = IllegalArgumentException.class)
    public void rejectsInvalidArguments(String name, int rank) {
        new Tier(name, rank);
    }

    @Test
    public void lowerRankIsMoreUrgent() {
        assertTrue(Tier.URGENT.outranks(Tier.STANDARD));
        assertEquals(Tier.PATIENT.compareTo(Tier.STANDARD), 1);
    }
}
