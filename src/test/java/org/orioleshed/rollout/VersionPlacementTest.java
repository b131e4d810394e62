package org.orioleshed.rollout;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.ServerId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against versions placed beyond the memory of servers or in few failure domains, and
 * against too many or too frequent weight loads.
 */
public class VersionPlacementTest {
    private static VersionPlacement.Candidate candidate(
            String id, String domain, long memory, long used) {
        return new VersionPlacement.Candidate(
                new ServerId(id), new FailureDomain(domain), memory, used);
    }

    @DataProvider
    Object[][] placements() {
        List<VersionPlacement.Candidate> candidates =
                List.of(
                        candidate("a1", "a", 80, 10),
                        candidate("a2", "a", 80, 0),
                        candidate("b1", "b", 80, 30),
                        candidate("c1", "c", 80, 60));
        return new Object[][] {
            {candidates, 40, 1, List.of("a2")},
            {candidates, 40, 2, List.of("a2", "b1")},
            {candidates, 40, 3, List.of("a2", "b1", "a1")},
            {candidates, 20, 3, List.of("a2", "b1", "c1")},
        };
    }

    @Test(dataProvider = "placements")
    public void distributesOverDomainsWithinMemory(
            List<VersionPlacement.Candidate> candidates,
            long bytes,
            int wanted,
            List<String> expected) {
        VersionPlacement.Result result = VersionPlacement.place(bytes, wanted, candidates);
        List<ServerId> servers = expected.stream().map(ServerId::new).toList();
        assertEquals(result, new VersionPlacement.Result.Placed(servers));
    }

    @Test
    public void reportsTooLittleMemory() {
        List<VersionPlacement.Candidate> candidates =
                List.of(candidate("a1", "a", 80, 50), candidate("a2", "a", 80, 0));
        assertEquals(
                VersionPlacement.place(40, 2, candidates),
                new VersionPlacement.Result.TooLittleMemory(2, 1));
    }

    @Test
    public void weightLoadsAreLimitedInNumberAndSpaced() {
        WeightBudget budget = new WeightBudget(2, 10);
        assertTrue(budget.tryStart(0));
        assertFalse(budget.tryStart(9), "spaced");
        assertTrue(budget.tryStart(10));
        assertFalse(budget.tryStart(30), "two at once");
        budget.finished();
        assertTrue(budget.tryStart(31));
    }
}
