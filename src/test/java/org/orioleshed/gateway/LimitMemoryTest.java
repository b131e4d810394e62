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

/** Tests of what a host remembers of servers' limits, for homes that begin. */
public class LimitMemoryTest {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final StatedLimit.Rate ONE = new StatedLimit.Rate(1);
    private static final DispatchEvent.ServerLimited RECALLED =
            new DispatchEvent.ServerLimited(new ServerId("a"), 1, ONE);

    private final ServerNotices notices = new ServerNotices();

    private static PoolServer server(long bornMillis) {
        return new PoolServer(
                new ServerId("a"),
                new ServiceId("s"),
                new InetSocketAddress("10.0.1.1", 80),
                new FailureDomain("d"),
                new VersionId("v1"),
                8,
                false,
                bornMillis);
    }

    private void answer(StatedLimit limit, long second) {
        AnswerFacts facts = new AnswerFacts("", true, false, -1, false, 0, limit);
        var unused = notices.note(server(1), facts, second * NANOS_PER_SECOND);
    }

    private List<DispatchEvent.ServerLimited> recalled(long second) {
        return notices.limits(second * NANOS_PER_SECOND);
    }

    @DataProvider
    public static Object[][] ages() {
        return new Object[][] {{1L, true}, {20L, true}, {40L, false}};
    }

    /** Others may have heard since that the server names none any more. */
    @Test(dataProvider = "ages")
    public void aLimitIsRecalledForAWhile(long ageSeconds, boolean isRecalled) {
        ServerNotices fresh = new ServerNotices();
        AnswerFacts facts = new AnswerFacts("", true, false, -1, false, 0, ONE);
        var unused = fresh.note(server(1), facts, 5 * NANOS_PER_SECOND);
        assertEquals(
                fresh.limits((5 + ageSeconds) * NANOS_PER_SECOND),
                isRecalled ? List.of(RECALLED) : List.of());
    }

    @Test
    public void theLastAnswerCounts() {
        answer(ONE, 5);
        answer(ONE, 30);
        assertEquals(recalled(50), List.of(RECALLED));
        answer(StatedLimit.UNKNOWN, 51);
        assertEquals(recalled(52), List.of(RECALLED));
        answer(StatedLimit.NONE, 53);
        assertEquals(recalled(54), List.of());
    }

    @Test
    public void anotherStartHasNamedNone() {
        answer(ONE, 5);
        notices.changed(List.of(server(2)));
        assertEquals(recalled(6), List.of());
    }
}
