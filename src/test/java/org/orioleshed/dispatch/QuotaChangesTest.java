package org.orioleshed.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;

import org.orioleshed.dispatch.DispatchAction.Reason;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a quota that is granted again because a configuration in between left the
 * workspace out, stated no limit for it, or another one. Each request uses 1,100 units.
 */
public class QuotaChangesTest {
    private static final int UNITS = 1_100;

    /** Returns a scheduler whose only workspace has used its quota up. */
    private static SchedulerFixture usedUp() {
        SchedulerFixture fixture = new SchedulerFixture().server("a", 99).quota(1, UNITS);
        fixture.request(1, 0).request(2, 0);
        assertEquals(fixture.grantedServer(1), "a");
        assertRefused(fixture, 2);
        return fixture;
    }

    private static void assertRefused(SchedulerFixture fixture, int run) {
        assertNotNull(fixture.refusalOf(run), "run " + run + " was granted");
        assertEquals(fixture.refusalOf(run).reason(), Reason.QUOTA);
    }

    /** A configuration that leaves the workspace out, or limits it otherwise. */
    interface Change {
        void apply(SchedulerFixture fixture);
    }

    private static Change leftOut() {
        return fixture -> fixture.pool(1_000_000);
    }

    private static Change quota(double perSecond, double burst) {
        return fixture -> fixture.quota(perSecond, burst);
    }

    @DataProvider
    Object[][] changesWithoutALimit() {
        return new Object[][] {
            {"same", quota(1, UNITS)},
            {"left out", leftOut()},
            {"no limit", quota(0, 0)},
            {"no limit, with a burst", quota(0, UNITS)},
        };
    }

    @Test(dataProvider = "changesWithoutALimit")
    public void aQuotaIsNotGrantedAgainAfterAVersionWithoutIt(String name, Change change) {
        SchedulerFixture fixture = usedUp();
        change.apply(fixture);
        fixture.advance(300);
        fixture.quota(1, UNITS).advance(300).request(3, 0);
        assertRefused(fixture, 3);
    }

    /** A host that has not heard of the newer configuration still sends such requests. */
    @Test
    public void aWorkspaceThatIsLeftOutKeepsItsLastLimit() {
        SchedulerFixture fixture = usedUp().pool(1_000_000).request(3, 0);
        assertRefused(fixture, 3);
    }

    @DataProvider
    Object[][] leftOutForAMinute() {
        return new Object[][] {{UNITS, true}, {1, false}};
    }

    /** Its limit is forgotten once no host can send such requests and all of it has accrued. */
    @Test(dataProvider = "leftOutForAMinute")
    public void aLimitThatIsLeftOutIsForgottenOnlyWhenItHasAccrued(
            int perSecond, boolean forgotten) {
        SchedulerFixture fixture = new SchedulerFixture().server("a", 99).quota(perSecond, UNITS);
        fixture.request(1, 0).pool(1_000_000).request(2, 0);
        assertRefused(fixture, 2);
        fixture.advance(61_000).pool(1_000_000).request(3, 0).request(4, 0);
        assertEquals(fixture.refusalOf(4) == null, forgotten);
    }

    @Test
    public void aWorkspaceWithoutALimitIsServed() {
        SchedulerFixture fixture = usedUp().quota(0, 0).request(3, 0).request(4, 0);
        assertEquals(fixture.grantedServer(4), "a");
    }

    @Test
    public void theQuotaAccruesWhileNoLimitIsInForce() {
        SchedulerFixture fixture = usedUp().quota(0, 0).advance(UNITS * 1_000L).quota(1, UNITS);
        fixture.request(3, 0);
        assertEquals(fixture.grantedServer(3), "a");
    }

    /** What no limit forbade leaves no debt. */
    @Test
    public void useWithoutALimitIsNotRequiredBack() {
        SchedulerFixture fixture = usedUp().quota(0, 0);
        for (int run = 10; run < 20; run++) {
            fixture.request(run, 0);
        }
        fixture.quota(UNITS, UNITS).advance(1_000).request(30, 0);
        assertNull(fixture.refusalOf(30));
    }

    /** The request was not charged when it was queued, but refunded when it was withdrawn. */
    @Test
    public void aRequestQueuedWithoutALimitIsNotRefundedFromOne() {
        SchedulerFixture fixture = new SchedulerFixture().server("a", 1).quota(1, UNITS);
        fixture.request(1, 0).quota(0, 0).request(2, 0).quota(1, UNITS);
        assertNull(fixture.grantedServer(2));
        fixture.send(new DispatchEvent.Withdrawn(SchedulerFixture.key(2))).request(3, 0);
        assertRefused(fixture, 3);
    }

    @DataProvider
    Object[][] lowerLimits() {
        return new Object[][] {
            {quota(1, 0)}, {quota(1, 1)}, {quota(1, 2)}, {quota(0.5, 1)}, {quota(1, 550)},
        };
    }

    /** A burst that is left out or lower for a moment was filled, and then scaled up. */
    @Test(dataProvider = "lowerLimits")
    public void aQuotaIsNotGrantedAgainAfterAVersionWithALowerBurst(Change lower) {
        SchedulerFixture fixture = usedUp();
        lower.apply(fixture);
        fixture.advance(5_000);
        fixture.quota(1, UNITS).advance(300).request(3, 0);
        assertRefused(fixture, 3);
    }

    @Test
    public void aHigherBurstGrantsWhatItAdds() {
        SchedulerFixture unused = new SchedulerFixture().server("a", 99).quota(1, UNITS);
        unused.quota(1, 2 * UNITS).request(1, 0).request(2, 0).request(3, 0);
        assertEquals(unused.grantedServer(2), "a");
        assertRefused(unused, 3);
        SchedulerFixture used = usedUp().quota(1, 2 * UNITS).request(3, 0).request(4, 0);
        assertEquals(used.grantedServer(3), "a");
        assertRefused(used, 4);
    }

    /** A lower limit binds from now on; what was used before it is not required back. */
    @Test
    public void aLowerLimitLeavesNoDebt() {
        SchedulerFixture fixture = usedUp().quota(1_000, 1).advance(10).request(3, 0);
        assertEquals(fixture.grantedServer(3), "a");
    }

    /** The host of the request knows a newer configuration than the primary. */
    @Test
    public void useBeforeTheLimitIsKnownCountsAgainstIt() {
        SchedulerFixture fixture = new SchedulerFixture().server("a", 99).request(1, 0);
        assertEquals(fixture.grantedServer(1), "a");
        fixture.advance(300).quota(1, UNITS).request(2, 0);
        assertRefused(fixture, 2);
        fixture.advance(UNITS * 1_000L).request(3, 0);
        assertEquals(fixture.grantedServer(3), "a");
    }

    @Test
    public void aWithdrawnRequestDoesNotCountAgainstALimitThatIsKnownLater() {
        SchedulerFixture fixture = new SchedulerFixture().server("a", 1);
        fixture.request(1, 0).request(2, 0);
        fixture.send(new DispatchEvent.Withdrawn(SchedulerFixture.key(2)));
        fixture.quota(1, 2 * UNITS).server("b", 9).request(3, 0).request(4, 0);
        assertEquals(fixture.grantedServer(3), "b");
        assertRefused(fixture, 4);
    }
}
