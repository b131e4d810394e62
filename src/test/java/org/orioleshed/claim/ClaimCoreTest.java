package org.orioleshed.claim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.orioleshed.host.FakeStore;
import org.orioleshed.host.HostAction;
import org.orioleshed.host.HostEvent;
import org.orioleshed.host.HostEvent.StoreAnswer;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.Payload;
import org.orioleshed.model.RequestId;
import org.orioleshed.model.RequestKey;
import org.orioleshed.model.RunId;
import org.orioleshed.model.WorkspaceId;
import org.orioleshed.request.Claims;
import org.orioleshed.request.Claims.Result;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of {@link ClaimCore} with two hosts that are not in each other's fleet snapshot and share
 * one store.
 */
public class ClaimCoreTest {
    private static final ClaimLimits SMALL_LIMITS =
            new ClaimLimits(1, 600_000, 500, 300, 0, 0, 2_000, 6_000, 100);

    private FakeStore store;
    private ClaimHost first;
    private ClaimHost second;
    private long nowNanos;

    /** The claims of one host. */
    private final class ClaimHost implements Claims.Listener {
        final HostId id;
        final Deque<HostAction> calls = new ArrayDeque<>();
        final Map<RunId, Result> results = new HashMap<>();
        final Map<Long, Result> found = new HashMap<>();
        final ClaimCore core;
        long sequence;

        ClaimHost(String name) {
            id = new HostId(name);
            core = new ClaimCore(id, SMALL_LIMITS, calls::add);
            core.listener(this);
        }

        RunId claim(String key) {
            return claim(key, Optional.empty());
        }

        RunId claim(String key, Optional<RunId> replaces) {
            RunId run = new RunId(new RequestId(id, 1, ++sequence), 1);
            core.claim(nowNanos, key(key), run, replaces);
            core.deliver();
            return run;
        }

        Result result(RunId run) {
            return results.get(run);
        }

        @Override
        public void onClaimed(long now, RequestKey key, RunId run, Result result) {
            assertEquals(results.put(run, result), null, "settled twice: " + run);
        }

        @Override
        public void onLookedUp(long now, long ticket, RequestKey key, Result result) {
            found.put(ticket, result);
        }

        /**
         * Answers the next store call. {@code how} is 0 to perform the call and answer, 1 to
         * perform it and lose the answer, 2 to fail it without performing it.
         */
        void answer(int how) {
            HostAction call = calls.poll();
            StoreAnswer answer =
                    switch (how) {
                        case 0 -> store.apply(call);
                        case 1 -> {
                            store.apply(call);
                            yield new StoreAnswer.Unknown("lost");
                        }
                        default -> new StoreAnswer.Unavailable("unavailable");
                    };
            core.on(nowNanos, new HostEvent.StoreAnswered(ticket(call), answer));
        }

        private long ticket(HostAction call) {
            return switch (call) {
                case HostAction.ReadStore read -> read.ticket();
                case HostAction.CompareAndSwap swap -> swap.ticket();
                default -> throw new IllegalStateException("" + call);
            };
        }

        void run() {
            for (int i = 0; i < 100; i++) {
                while (!calls.isEmpty()) {
                    answer(0);
                }
                tick(20);
            }
        }
    }

    @BeforeMethod
    void createHosts() {
        store = new FakeStore();
        first = new ClaimHost("h1");
        second = new ClaimHost("h2");
        nowNanos = 1;
    }

    private void tick(long millis) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
        first.core.on(nowNanos, new HostEvent.Tick());
        second.core.on(nowNanos, new HostEvent.Tick());
    }

    private static RequestKey key(String key) {
        return new RequestKey(new WorkspaceId("association"), key);
    }

    @Test
    public void oneOfTwoConcurrentClaimsWins() {
        RunId own = first.claim("k");
        RunId other = second.claim("k");
        first.answer(0);
        second.answer(0);
        first.answer(0);
        second.answer(0);
        assertEquals(first.result(own), new Result.Acquired());
        second.run();
        assertEquals(second.result(other), new Result.Taken(own, Optional.empty()));
    }

    @DataProvider
    Object[][] lostAnswers() {
        return new Object[][] {{1}, {2}};
    }

    @Test(dataProvider = "lostAnswers")
    public void claimIsAcquiredOnceWhenTheAnswerToItsWriteIsLost(int how) {
        RunId run = first.claim("k");
        first.answer(0);
        first.answer(how);
        first.run();
        assertEquals(first.result(run), new Result.Acquired());
        RunId other = second.claim("k");
        second.run();
        assertEquals(second.result(other), new Result.Taken(run, Optional.empty()));
    }

    @Test
    public void concurrentClaimsAreBatchedIntoOneWrite() {
        for (int i = 0; i < 10; i++) {
            first.claim("k" + i);
        }
        first.answer(0);
        first.answer(0);
        assertEquals(first.results.size(), 10);
        assertEquals(store.writes, 1);
    }

    @Test
    public void claimsMovedToPagesStayVisibleToAllHosts() {
        Map<String, RunId> runs = new HashMap<>();
        for (int i = 0; i < 200; i++) {
            runs.put("k" + i, first.claim("k" + i));
            if (i % 3 == 0) {
                first.run();
            }
        }
        first.run();
        runs.forEach((key, run) -> assertEquals(first.result(run), new Result.Acquired(), key));
        assertTrue(store.largestValue <= 6_000 + 2_000, "" + store.largestValue);
        for (int i = 0; i < 200; i += 7) {
            RunId again = second.claim("k" + i);
            second.run();
            Result expected = new Result.Taken(runs.get("k" + i), Optional.empty());
            assertEquals(second.result(again), expected, "k" + i);
        }
    }

    @Test
    public void outcomeIsRecordedForAClaimThatMovedToAPage() {
        RunId run = first.claim("k");
        first.run();
        for (int i = 0; i < 60; i++) {
            first.claim("other" + i);
            first.run();
        }
        Outcome outcome = new Outcome.Answered(0, Payload.of("cabin 12"));
        first.core.record(nowNanos, key("k"), run, outcome);
        first.run();
        second.core.lookUp(nowNanos, 7, key("k"));
        second.run();
        assertEquals(second.found.get(7L), new Result.Taken(run, Optional.of(outcome)));
    }

    @Test
    public void claimsOlderThanTheRetentionAreDropped() {
        first.claim("k");
        first.run();
        tick(601_000);
        first.claim("other");
        first.run();
        RunId again = second.claim("k");
        second.run();
        assertEquals(second.result(again), new Result.Acquired());
    }

    @Test
    public void abandonedClaimThatIsAppliedLaterReleasesItsKey() {
        RunId run = first.claim("k");
        first.answer(0);
        first.core.abandon(key("k"), run);
        first.answer(1);
        first.run();
        RunId probe = first.claim("other");
        first.run();
        assertEquals(first.result(probe), new Result.Acquired());
        first.run();
        RunId again = second.claim("k", Optional.of(run));
        second.run();
        assertEquals(second.result(again), new Result.Acquired());
        assertEquals(first.result(run), null);
    }

    /**
     * The host that abandoned the first claim was paused and reports its "not run" outcome only
     * after the replacement's claim moved to a page.
     */
    @Test
    public void lateNotRunOutcomeDoesNotHideTheClaimThatReplacedIt() {
        RunId neverSent = first.claim("k");
        first.run();
        RunId sent = second.claim("k", Optional.of(neverSent));
        second.run();
        Outcome answered = new Outcome.Answered(0, Payload.of("cabin 12"));
        second.core.record(nowNanos, key("k"), sent, answered);
        second.run();
        for (int i = 0; i < 60; i++) {
            second.claim("other" + i);
            second.run();
        }
        Outcome notRun = new Outcome.NotRun(Outcome.NotRunReason.STORE_AWAY, 0);
        first.core.record(nowNanos, key("k"), neverSent, notRun);
        first.run();
        second.core.lookUp(nowNanos, 7, key("k"));
        second.run();
        assertEquals(second.found.get(7L), new Result.Taken(sent, Optional.of(answered)));
    }

    @Test
    public void claimIsReplacedOnlyByARunThatNamesIt() {
        RunId run = first.claim("k");
        first.run();
        RunId wrong = second.claim("k", Optional.of(new RunId(run.request(), 9)));
        second.run();
        assertEquals(second.result(wrong), new Result.Taken(run, Optional.empty()));
        RunId right = second.claim("k", Optional.of(run));
        second.run();
        assertEquals(second.result(right), new Result.Acquired());
    }

    @Test
    public void claimTimesOutWhileTheStoreIsUnavailableAndSucceedsAfterwards() {
        RunId run = first.claim("k");
        for (int i = 0; i < 25; i++) {
            while (!first.calls.isEmpty()) {
                first.answer(2);
            }
            tick(20);
        }
        assertEquals(first.result(run), new Result.Unavailable());
        first.run();
        RunId again = first.claim("k");
        first.run();
        assertEquals(first.result(again), new Result.Acquired());
    }

    @Test
    public void damagedHeadIsNeverOverwritten() {
        byte[] damaged = {(byte) 0xff, (byte) 0xff, 1};
        String head = "orioleshed/claims/0";
        store.apply(new HostAction.CompareAndSwap(0, head, 0, Payload.of(damaged), 0));
        RunId run = first.claim("k");
        first.run();
        assertEquals(first.result(run), new Result.Unavailable());
        assertEquals(store.writes, 1);
    }
}
