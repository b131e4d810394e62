package org.orioleshed.model;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link Tier}. */
public class TierTest {
    @DataProvider
    Object[][] badArguments() {
        return new Object[][] {{"", 0}, {" ", 0}, {"urgent", -1}};
    }

    @Test(dataProvider = "badArguments", expectedExceptions = IllegalArgumentException.class)
    public void refusesBadArguments(String name, int rank) {
        new Tier(name, rank);
    }

    @Test
    public void lowerRankIsMoreUrgent() {
        assertTrue(Tier.URGENT.outranks(Tier.STANDARD));
        assertEquals(Tier.PATIENT.compareTo(Tier.STANDARD), 1);
    }
}
