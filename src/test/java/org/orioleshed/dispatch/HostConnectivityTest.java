package org.orioleshed.dispatch;

import static org.testng.Assert.assertEquals;

import org.orioleshed.model.HostId;
import org.orioleshed.model.ServerId;
import org.testng.annotations.Test;

/** Tests of what hosts' reports of unreachable servers count for. */
public class HostConnectivityTest {
    private static final long MILLI = 1_000_000;
    private static final HostId CUT_OFF = new HostId("h1");
    private static final HostId OTHER = new HostId("h2");

    private final HostConnectivity connectivity = new HostConnectivity();

    private RunReport.Outcome unreachable(HostId host, String server, long nowMillis) {
        RunReport report = new RunReport(RunReport.Outcome.UNREACHABLE, 0, 0, 300);
        return connectivity
                .attribute(host, new ServerId(server), report, nowMillis * MILLI)
                .outcome();
    }

    private void answered(HostId host, int servers, long nowMillis) {
        for (int i = 0; i < servers; i++) {
            connectivity.answered(host, new ServerId("s" + i), nowMillis * MILLI);
        }
    }

    /** Guards against servers that back off because one host is partitioned. */
    @Test
    public void mostServersUnreachableFromOneHostIsThatHostsFault() {
        answered(OTHER, 4, 0);
        assertEquals(unreachable(CUT_OFF, "s0", 1), RunReport.Outcome.UNREACHABLE);
        for (int i = 1; i < 4; i++) {
            assertEquals(unreachable(CUT_OFF, "s" + i, 2), RunReport.Outcome.CANCELLED);
        }
    }

    /** Guards against crashed servers that are not noticed. */
    @Test
    public void someServersUnreachableFromAHostThatReachesOthersAreFaulty() {
        answered(OTHER, 8, 0);
        answered(CUT_OFF, 8, 0);
        assertEquals(unreachable(CUT_OFF, "s0", 1), RunReport.Outcome.UNREACHABLE);
        assertEquals(unreachable(CUT_OFF, "s1", 2), RunReport.Outcome.UNREACHABLE);
    }

    /** Guards against a pool that is down and counts as reachable. */
    @Test
    public void serversThatNoOtherHostReachesAreFaulty() {
        answered(OTHER, 4, 0);
        for (int i = 0; i < 4; i++) {
            assertEquals(unreachable(CUT_OFF, "s" + i, 2_000), RunReport.Outcome.UNREACHABLE);
        }
    }
}
