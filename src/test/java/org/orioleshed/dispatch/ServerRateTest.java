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
 * Tests of servers that name how many requests they take. The load is always the same: far more
 * requests than that, while the server has free places.
 */
public class ServerRateTest {
    private static final int SLOTS = 64;
    private static final long STEP_MILLIS = 20;
    private static final StatedLimit.Rate ONE = new StatedLimit.Rate(1);

    private final Pools pools;
    private int run;

    /** Makes the pool of the first test; each test begins with one of its own. */
    public ServerRateTest() {
        this(new Pools());
    }

    private ServerRateTest(Pools pools) {
        this.pools = pools;
    }

    private static ServerRateTest begin() {
        return new ServerRateTest(new Pools().server("a", SLOTS));
    }

    /** Has the server name its limit with the answer to a request. */
    private ServerRateTest named(StatedLimit limit) {
        pools.request(++run, 0).end(run, Outcome.ANSWERED, limit);
        return this;
    }

    /** Returns how many requests the server is sent in a time of steady demand. */
    private long sentIn(long millis, StatedLimit each) {
        long before = pools.grantsOf("a");
        for (long at = 0; at < millis; at += STEP_MILLIS) {
            pools.after(STEP_MILLIS).request(++run, 0);
            long granted = pools.granted().size();
            for (long number : pools.granted().subList((int) before, (int) granted)) {
                pools.end((int) number, Outcome.ANSWERED, each);
            }
        }
        return pools.grantsOf("a") - before;
    }

    @DataProvider
    public static Object[][] limits() {
        return new Object[][] {{0.0}, {0.2}, {1.0}, {1.3}, {4.2}, {40.0}};
    }

    @Test(dataProvider = "limits")
    public void aServerGetsWhatItNamedAndNoMore(double perSecond) {
        StatedLimit limit = new StatedLimit.Rate(perSecond);
        long sent = begin().named(limit).sentIn(20_000, limit);
        double due = 20 * perSecond;
        assertTrue(sent <= due + Math.max(2, 0.25 * perSecond), sent + " sent");
        assertTrue(sent >= 0.9 * due - 2, sent + " sent");
    }

    @Test
    public void aServerThatTakesNoneIsProbedNowAndThen() {
        StatedLimit none = new StatedLimit.Rate(0);
        long sent = begin().named(none).sentIn(60_000, none);
        assertTrue(sent >= 4 && sent <= 6, sent + " sent");
    }

    @Test
    public void anAbsurdLimitBindsNothing() {
        StatedLimit limit = new StatedLimit.Rate(1e17);
        assertEquals(begin().named(limit).sentIn(2_000, limit), 100);
    }

    /** Each answer of a server in need names the limit once more. */
    @Test
    public void aNoticeThatComesAgainGivesNothingOut() {
        ServerRateTest test = begin().named(ONE);
        for (int i = 0; i < 50; i++) {
            test.pools.tell(
                    new DispatchEvent.ServerLimited(new ServerId("a"), 1, new StatedLimit.Rate(1)));
        }
        assertEquals(test.sentIn(500, ONE), 0);
    }

    @Test
    public void aLimitThatChangesWithEachAnswerGivesNoMoreThanTheHigher() {
        ServerRateTest test = begin().named(ONE);
        long sent = 0;
        for (int i = 0; i < 20; i++) {
            sent += test.sentIn(500, new StatedLimit.Rate(i % 2 == 0 ? 4 : 1));
        }
        assertTrue(sent <= 42, sent + " sent");
    }

    @Test
    public void theLimitEndsWithAnAnswerThatNamesNone() {
        ServerRateTest test = begin().named(ONE);
        test.pools
                .after(1_100)
                .request(++test.run, 0)
                .end(test.run, Outcome.ANSWERED, StatedLimit.NONE);
        assertEquals(test.sentIn(1_000, StatedLimit.NONE), 50);
    }

    /** The answer to an earlier request may have been made before the server was in need. */
    @Test
    public void theLimitOutlastsAnswersToEarlierRequests() {
        Pools pools =
                new Pools().server("a", SLOTS).request(1, 0).request(2, 0).request(3, 0).after(20);
        pools.first(1, ONE).first(2, StatedLimit.NONE).end(3, Outcome.ANSWERED, StatedLimit.NONE);
        pools.request(4, 0);
        assertNull(pools.serverOf(4));
    }

    @DataProvider
    public static Object[][] silences() {
        return new Object[][] {
            {Outcome.UNREACHABLE}, {Outcome.BROKEN}, {Outcome.TIMED_OUT}, {Outcome.CANCELLED}
        };
    }

    @Test(dataProvider = "silences")
    public void theLimitOutlastsRequestsWithoutAnAnswer(Outcome outcome) {
        ServerRateTest test = begin().named(ONE);
        test.pools.after(1_100).request(++test.run, 0).end(test.run, outcome, StatedLimit.UNKNOWN);
        test.pools.after(800).request(++test.run, 0);
        assertNull(test.pools.serverOf(test.run));
    }

    /** Requests that hosts placed by themselves count, too. */
    @Test
    public void whatOthersSentIsTakenOff() {
        ServerRateTest test = begin().named(ONE);
        for (int i = 0; i < 3; i++) {
            PlacementRequest request = Pools.request(0, 600, 10_000, 1_000, 100);
            test.pools.tell(
                    new DispatchEvent.Placed(Pools.key(1_000 + i), request, new ServerId("a")));
        }
        assertEquals(test.sentIn(3_500, ONE), 0);
    }

    /** A heartbeat that comes late takes the entry away for a while, but not the need. */
    @Test
    public void theLimitOutlastsAnEntryThatVanishesForAWhile() {
        ServerRateTest test = begin().named(ONE);
        test.pools.gone("a").server("a", SLOTS);
        assertEquals(test.sentIn(500, ONE), 0);
    }

    @Test
    public void anotherStartOfTheServerHasNoLimit() {
        ServerRateTest test = begin().named(ONE);
        test.pools.serverStarted("a", SLOTS, 2);
        assertEquals(test.sentIn(500, StatedLimit.NONE), 25);
    }

    /** A new primary hears of the limit from hosts, and knows nothing of what was sent before. */
    @Test
    public void aNewPrimaryStartsWithNothing() {
        Pools pools = new Pools().server("a", SLOTS);
        pools.tell(new DispatchEvent.ServerLimited(new ServerId("a"), 1, ONE));
        assertEquals(new ServerRateTest(pools).sentIn(900, ONE), 0);
    }

    /** Half of a primary's hosts look to another primary beyond a cut; each gives out its part. */
    @Test
    public void aPrimaryGivesOutThePartOfItsFollowers() {
        ServerRateTest test = begin();
        test.pools.tell(new DispatchEvent.ShareChanged(1, 0.5));
        StatedLimit four = new StatedLimit.Rate(4);
        long sent = test.named(four).sentIn(20_000, four);
        assertTrue(sent >= 37 && sent <= 42, sent + " sent");
    }

    /** Many hosts without a primary can't know what the others send. */
    @Test
    public void aHostWithoutAPrimaryLeavesTheServerAlone() {
        Pools pools = new Pools(Quotas.Role.FALLBACK).server("a", SLOTS);
        assertEquals(new ServerRateTest(pools).named(ONE).sentIn(5_000, ONE), 0);
    }

    @Test
    public void whoCanNotBeServedAtTheRateHearsSoAtOnce() {
        ServerRateTest test = begin().named(ONE);
        int first = test.run + 1;
        for (int i = 0; i < 20; i++) {
            test.pools.request(++test.run, 0);
        }
        assertNull(test.pools.refusalOf(first));
        DispatchAction.Refuse refusal = test.pools.refusalOf(test.run);
        assertNotNull(refusal);
        assertTrue(refusal.retryAfterMillis() >= 990, refusal.toString());
    }

    @Test
    public void requestsGoToTheServersThatTakeThem() {
        ServerRateTest test = begin().named(ONE);
        test.pools.server("b", SLOTS);
        for (int i = 0; i < 20; i++) {
            test.pools.request(++test.run, 0);
            assertEquals(test.pools.serverOf(test.run), "b");
        }
    }
}
