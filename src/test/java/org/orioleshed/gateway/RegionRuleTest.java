package org.orioleshed.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.Region;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against requests and bodies that leave the regions which operators allow. */
public class RegionRuleTest {
    private static final Region NORTH = new Region("north");
    private static final Region SOUTH = new Region("south");
    private static final RegionRule RULE =
            new RegionRule(
                    Map.of(domain("n1"), NORTH, domain("n2"), NORTH, domain("s1"), SOUTH),
                    domain("n1"));

    private static FailureDomain domain(String name) {
        return new FailureDomain(name);
    }

    private static Set<FailureDomain> domains(String... names) {
        return Set.of(names).stream().map(RegionRuleTest::domain).collect(Collectors.toSet());
    }

    @DataProvider
    Object[][] lists() {
        return new Object[][] {
            {Set.of(), Set.of(), Optional.empty()},
            {Set.of(NORTH), Set.of(), Optional.of(domains("n1", "n2"))},
            {Set.of(), Set.of(SOUTH), Optional.of(domains("s1"))},
            {Set.of(NORTH, SOUTH), Set.of(SOUTH), Optional.of(domains("s1"))},
            {Set.of(NORTH), Set.of(SOUTH), Optional.of(domains())},
            {Set.of(new Region("unknown")), Set.of(), Optional.of(domains())},
        };
    }

    @Test(dataProvider = "lists")
    public void bothListsApply(
            Set<Region> route, Set<Region> workspace, Optional<Set<FailureDomain>> expected) {
        assertEquals(RULE.allowed(route, workspace), expected);
    }

    @Test
    public void bodyIsSentOnlyToHostsInAllowedRegionsOrTheOwn() {
        Optional<Set<FailureDomain>> south = RULE.allowed(Set.of(SOUTH), Set.of());
        assertTrue(RULE.mayReceiveBody(south, domain("s1")));
        assertTrue(RULE.mayReceiveBody(south, domain("n2")));
        Optional<Set<FailureDomain>> north = RULE.allowed(Set.of(NORTH), Set.of());
        assertFalse(RULE.mayReceiveBody(north, domain("s1")));
        assertFalse(RULE.mayReceiveBody(north, domain("unknown")));
        assertTrue(RULE.mayReceiveBody(Optional.empty(), domain("unknown")));
    }
}
