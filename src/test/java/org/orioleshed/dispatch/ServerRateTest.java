package org.orioleshed.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import org.orioleshed.dispatch.RunReport.Outcome;
import org.orioleshed.model.ServerId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against requests beyond the rate limits that servers state. The load always far exceeds
 * the limit, while the server has free slots.
 */
public class ServerRateTest {
    private static final int SLOTS = 64;
    private static final long STEP_MILLIS = 20;
    private static final StatedLimit.Rate ONE = new StatedLimit.Rate(1);

    private final SchedulerFixture fixture;
    private int run;

    /** For TestNG; each test creates an instance with a pool of its own. */
    public ServerRateTest() {
        this(new SchedulerFixture());
    }

    private ServerRateTest(SchedulerFixture fixture) {
        this.fixture = fixture;
    }

    private static ServerRateTest create() {
        return new ServerRateTest(new SchedulerFixture().server("a", SLOTS));
    }

    /** Makes the server state its limit in an answer. */
    private ServerRateTest state(StatedLimit limit) {
        fixture.request(++run, 0).end(run, Outcome.ANSWERED, limit);
        return this;
    }

    /** Returns how many requests are sent to the server in a period of steady demand. */
    private long countSent(long millis, StatedLimit answerLimit) {
        long before = fixture.grantsOf("a");
        for (long at = 0; at < millis; at += STEP_MILLIS) {
            fixture.advance(STEP_MILLIS).request(++run, 0);
            long granted = fixture.granted().size();
            for (long number : fixture.granted().subList((int) before, (int) granted)) {
                fixture.end((int) number, Outcome.ANSWERED, answerLimit);
            }
        }
        return fixture.grantsOf("a") - before;
    }

    @DataProvider
    public static Object[][] limits() {
        return new Object[][] {{0.0}, {0.2}, {1.0}, {1.3}, {4.2}, {40.0}};
    }

    @Test(dataProvider = "limits")
    public void sendsAtTheStatedRate(double perSecond) {
        StatedLimit limit = new StatedLimit.Rate(perSecond);
        long sent = create().state(limit).countSent(20_000, limit);
        double due = 20 * perSecond;
        assertTrue(sent <= due + Math.max(2, 0.25 * perSecond), sent + " sent");
        assertTrue(sent >= 0.9 * due - 2, sent + " sent");
    }

    @Test
    public void probesAServerThatAcceptsNoRequests() {
        StatedLimit none = new StatedLimit.Rate(0);
        long sent = create().state(none).countSent(60_000, none);
        assertTrue(sent >= 4 && sent <= 6, sent + " sent");
    }

    @Test
    public void anExcessiveLimitHasNoEffect() {
        StatedLimit limit = new StatedLimit.Rate(1e17);
        assertEquals(create().state(limit).countSent(2_000, limit), 100);
    }

    /** Each answer of an overloaded server states the limit again. */
    @Test
    public void aRepeatedStatementGrantsNothing() {
        ServerRateTest test = create().state(ONE);
        for (int i = 0; i < 50; i++) {
            test.fixture.send(
                    new DispatchEvent.ServerLimited(new ServerId("a"), 1, new StatedLimit.Rate(1)));
        }
        assertEquals(test.countSent(500, ONE), 0);
    }

    @Test
    public void aLimitThatAlternatesGrantsNoMoreThanTheHigherOne() {
        ServerRateTest test = create().state(ONE);
        long sent = 0;
        for (int i = 0; i < 20; i++) {
            sent += test.countSent(500, new StatedLimit.Rate(i % 2 == 0 ? 4 : 1));
        }
        assertTrue(sent <= 42, sent + " sent");
    }

    @Test
    public void theLimitEndsWithAnAnswerWithoutALimit() {
        ServerRateTest test = create().state(ONE);
        test.fixture
                .advance(1_100)
                .request(++test.run, 0)
                .end(test.run, Outcome.ANSWERED, StatedLimit.NONE);
        assertEquals(test.countSent(1_000, StatedLimit.NONE), 50);
    }

    /** An answer to an earlier request may be older than the limit. */
    @Test
    public void answersToEarlierRequestsDoNotEndTheLimit() {
        SchedulerFixture fixture =
                new SchedulerFixture()
                        .server("a", SLOTS)
                        .request(1, 0)
                        .request(2, 0)
                        .request(3, 0)
                        .advance(20);
        fixture.first(1, ONE).first(2, StatedLimit.NONE).end(3, Outcome.ANSWERED, StatedLimit.NONE);
        fixture.request(4, 0);
        assertNull(fixture.grantedServer(4));
    }

    @DataProvider
    public static Object[][] outcomesWithoutAnswer() {
        return new Object[][] {
            {Outcome.UNREACHABLE}, {Outcome.BROKEN}, {Outcome.TIMED_OUT}, {Outcome.CANCELLED}
        };
    }

    @Test(dataProvider = "outcomesWithoutAnswer")
    public void requestsWithoutAnAnswerDoNotEndTheLimit(Outcome outcome) {
        ServerRateTest test = create().state(ONE);
        test.fixture
                .advance(1_100)
                .request(++test.run, 0)
                .end(test.run, outcome, StatedLimit.UNKNOWN);
        test.fixture.advance(800).request(++test.run, 0);
        assertNull(test.fixture.grantedServer(test.run));
    }

    /** Requests that fallback hosts placed count too. */
    @Test
    public void countsRequestsOfOtherSchedulers() {
        ServerRateTest test = create().state(ONE);
        for (int i = 0; i < 3; i++) {
            PlacementRequest request = SchedulerFixture.request(0, 600, 10_000, 1_000, 100);
            test.fixture.send(
                    new DispatchEvent.Placed(
                            SchedulerFixture.key(1_000 + i), request, new ServerId("a")));
        }
        assertEquals(test.countSent(3_500, ONE), 0);
    }

    /** A late heartbeat removes the entry for a while, but the server is still overloaded. */
    @Test
    public void aTemporarilyAbsentEntryDoesNotEndTheLimit() {
        ServerRateTest test = create().state(ONE);
        test.fixture.removeServer("a").server("a", SLOTS);
        assertEquals(test.countSent(500, ONE), 0);
    }

    @Test
    public void anotherIncarnationHasNoLimit() {
        ServerRateTest test = create().state(ONE);
        test.fixture.serverWithStart("a", SLOTS, 2);
        assertEquals(test.countSent(500, StatedLimit.NONE), 25);
    }

    /** A new primary gets the limit from reports, but has no record of the requests sent before. */
    @Test
    public void aNewPrimaryStartsWithAnEmptyBucket() {
        SchedulerFixture fixture = new SchedulerFixture().server("a", SLOTS);
        fixture.send(new DispatchEvent.ServerLimited(new ServerId("a"), 1, ONE));
        assertEquals(new ServerRateTest(fixture).countSent(900, ONE), 0);
    }

    /**
     * During a network partition, half of the hosts follow another primary; each primary grants its
     * share.
     */
    @Test
    public void aPrimaryGrantsTheShareOfItsFollowers() {
        ServerRateTest test = create();
        test.fixture.send(new DispatchEvent.ShareChanged(1, 0.5));
        StatedLimit four = new StatedLimit.Rate(4);
        long sent = test.state(four).countSent(20_000, four);
        assertTrue(sent >= 37 && sent <= 42, sent + " sent");
    }

    /** Hosts without a primary have no record of what the others send. */
    @Test
    public void aFallbackHostSendsNothingToALimitedServer() {
        SchedulerFixture fixture = new SchedulerFixture(Quotas.Role.FALLBACK).server("a", SLOTS);
        assertEquals(new ServerRateTest(fixture).state(ONE).countSent(5_000, ONE), 0);
    }

    @Test
    public void refusesAtOnceWhatExceedsTheRate() {
        ServerRateTest test = create().state(ONE);
        int first = test.run + 1;
        for (int i = 0; i < 20; i++) {
            test.fixture.request(++test.run, 0);
        }
        assertNull(test.fixture.refusalOf(first));
        DispatchAction.Refuse refusal = test.fixture.refusalOf(test.run);
        assertNotNull(refusal);
        assertTrue(refusal.retryAfterMillis() >= 990, refusal.toString());
    }

    @Test
    public void prefersServersWithoutALimit() {
        ServerRateTest test = create().state(ONE);
        test.fixture.server("b", SLOTS);
        for (int i = 0; i < 20; i++) {
            test.fixture.request(++test.run, 0);
            assertEquals(test.fixture.grantedServer(test.run), "b");
        }
    }
}
