package org.orioleshed.gateway;

import static org.testng.Assert.assertEquals;

import java.net.InetSocketAddress;
import java.util.List;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.dispatch.DispatchEvent;
import org.orioleshed.dispatch.StatedLimit;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.ServiceId;
import org.orioleshed.model.VersionId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of {@link ServerNotices}: how long a host keeps servers' limits to report to a new primary.
 */
public class ServerLimitRetentionTest {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final StatedLimit.Rate ONE = new StatedLimit.Rate(1);
    private static final DispatchEvent.ServerLimited REPORTED =
            new DispatchEvent.ServerLimited(new ServerId("a"), 1, ONE);

    private final ServerNotices notices = new ServerNotices();

    private static PoolServer server(long startMillis) {
        return new PoolServer(
                new ServerId("a"),
                new ServiceId("s"),
                new InetSocketAddress("10.0.1.1", 80),
                new FailureDomain("d"),
                new VersionId("v1"),
                8,
                false,
                startMillis);
    }

    private void respond(StatedLimit limit, long second) {
        ResponseHeaders responseHeaders = new ResponseHeaders("", true, false, -1, false, 0, limit);
        var unused = notices.record(server(1), responseHeaders, second * NANOS_PER_SECOND);
    }

    private List<DispatchEvent.ServerLimited> reported(long second) {
        return notices.limits(second * NANOS_PER_SECOND);
    }

    @DataProvider
    public static Object[][] ages() {
        return new Object[][] {{1L, true}, {20L, true}, {40L, false}};
    }

    /**
     * An old limit is not reported, as other hosts may have seen since that the server has none.
     */
    @Test(dataProvider = "ages")
    public void aLimitIsReportedUntilItExpires(long ageSeconds, boolean isReported) {
        ServerNotices fresh = new ServerNotices();
        ResponseHeaders responseHeaders = new ResponseHeaders("", true, false, -1, false, 0, ONE);
        var unused = fresh.record(server(1), responseHeaders, 5 * NANOS_PER_SECOND);
        assertEquals(
                fresh.limits((5 + ageSeconds) * NANOS_PER_SECOND),
                isReported ? List.of(REPORTED) : List.of());
    }

    @Test
    public void theLastStatedLimitIsReported() {
        respond(ONE, 5);
        respond(ONE, 30);
        assertEquals(reported(50), List.of(REPORTED));
        respond(StatedLimit.UNKNOWN, 51);
        assertEquals(reported(52), List.of(REPORTED));
        respond(StatedLimit.NONE, 53);
        assertEquals(reported(54), List.of());
    }

    @DataProvider
    public static Object[][] warmupAges() {
        return new Object[][] {{0L, true}, {2L, true}, {3L, false}, {40L, false}};
    }

    /** A new primary must not send at full rate to a server that stated to a host to be cold. */
    @Test(dataProvider = "warmupAges")
    public void aWarmupIsReportedWithItsAgeUntilItIsOver(long ageSeconds, boolean isReported) {
        ServerNotices fresh = new ServerNotices();
        ResponseHeaders cold =
                new ResponseHeaders("", true, false, -1, false, 0, StatedLimit.NONE, 3_000);
        var unused = fresh.record(server(1), cold, 5 * NANOS_PER_SECOND);
        DispatchEvent.ServerCold report =
                new DispatchEvent.ServerCold(
                        new ServerId("a"),
                        1,
                        3_000,
                        ageSeconds * 1_000,
                        DispatchEvent.ServerCold.Source.ANSWER);
        assertEquals(
                fresh.reports((5 + ageSeconds) * NANOS_PER_SECOND),
                isReported ? List.of(report) : List.of());
    }

    @DataProvider
    public static Object[][] brittleAges() {
        return new Object[][] {{0L, true}, {29L, true}, {30L, false}};
    }

    /** A new primary must not send a burst to a server that stated to a host to be brittle. */
    @Test(dataProvider = "brittleAges")
    public void aBrittleServerIsReportedUntilAnAnswerEndsIt(long ageSeconds, boolean isReported) {
        ServerNotices fresh = new ServerNotices();
        ResponseHeaders none = new ResponseHeaders("", true, false, -1, false, 0, StatedLimit.NONE);
        ResponseHeaders brittle =
                new ResponseHeaders("", true, false, -1, false, 0, StatedLimit.NONE, 0, ONE);
        var unused = fresh.record(server(1), brittle, 5 * NANOS_PER_SECOND);
        DispatchEvent.ServerBrittle report =
                new DispatchEvent.ServerBrittle(new ServerId("a"), 1, new StatedLimit.Rate(1));
        long laterNanos = (5 + ageSeconds) * NANOS_PER_SECOND;
        assertEquals(fresh.reports(laterNanos), isReported ? List.of(report) : List.of());
        unused = fresh.record(server(1), none, laterNanos);
        assertEquals(fresh.reports(laterNanos), List.of());
    }

    @Test
    public void aRestartedServerHasNoLimit() {
        respond(ONE, 5);
        notices.serversChanged(List.of(server(2)));
        assertEquals(reported(6), List.of());
    }
}
