package org.orioleshed.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import java.util.Optional;
import java.util.Set;
import org.orioleshed.dispatch.DispatchAction.Reason;
import org.orioleshed.dispatch.RunReport.Outcome;
import org.orioleshed.model.FailureDomain;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against placements outside the failure domains that a request allows. */
public class AllowedDomainsTest {
    private SchedulerFixture fixture;

    @BeforeMethod
    public void open() {
        fixture =
                new SchedulerFixture()
                        .server("near", 2, SchedulerFixture.NEAR, false)
                        .server("far", 1, SchedulerFixture.FAR, false);
    }

    private static PlacementRequest allowing(FailureDomain... domains) {
        PlacementRequest any = SchedulerFixture.request(0, 600, 10_000, 1_000, 100);
        return new PlacementRequest(
                any.service(),
                any.route(),
                any.workspace(),
                any.domain(),
                any.rank(),
                any.targetLeftMillis(),
                any.deadlineLeftMillis(),
                any.promptTokens(),
                any.outputTokens(),
                any.quotaUnits(),
                any.content(),
                any.excluded(),
                Optional.of(Set.of(domains)));
    }

    @Test
    public void requestWaitsForAnAllowedDomainAlthoughAnotherIsFree() {
        fixture.request(1, allowing(SchedulerFixture.FAR));
        fixture.request(2, allowing(SchedulerFixture.FAR));
        assertEquals(fixture.grantedServer(1), "far");
        assertNull(fixture.grantedServer(2));
        fixture.end(1, Outcome.ANSWERED);
        assertEquals(fixture.grantedServer(2), "far");
    }

    @Test
    public void requestThatNoDomainMayServeIsRefusedAtOnce() {
        fixture.request(1, allowing());
        fixture.request(2, allowing(new FailureDomain("unknown")));
        assertEquals(fixture.refusalOf(1).reason(), Reason.NO_SERVER);
        assertEquals(fixture.refusalOf(2).reason(), Reason.NO_SERVER);
    }

    @Test
    public void requestWhoseOnlyDomainIsEvacuatedIsRefusedAtOnce() {
        fixture.request(1, allowing(SchedulerFixture.FAR));
        fixture.request(2, allowing(SchedulerFixture.FAR));
        fixture.evacuate(Set.of(SchedulerFixture.FAR));
        assertEquals(fixture.refusalOf(2).reason(), Reason.NO_SERVER);
    }

    /** Guards against a full region whose queue holds back requests that may go elsewhere. */
    @Test
    public void queueForAFullDomainDoesNotHoldBackOtherRequests() {
        for (int run = 1; run <= 60; run++) {
            fixture.request(run, allowing(SchedulerFixture.FAR));
        }
        fixture.request(101, 0).request(102, 0).request(103, 0);
        assertEquals(fixture.grantedServer(101), "near");
        assertEquals(fixture.grantedServer(102), "near");
        assertNull(fixture.grantedServer(103));
        fixture.end(101, Outcome.ANSWERED);
        assertEquals(fixture.grantedServer(103), "near");
    }
}
