package org.orioleshed.standin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.SplittableRandom;
import org.orioleshed.standin.EngineModel.Admission;
import org.orioleshed.standin.EngineRun.State;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards the timing, admission, cache and fault injection of simulated engines. */
public class EngineModelTest {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final EngineSpec SPEC =
            new EngineSpec("e", 0, "m", "v1", 20, 3, 1_000, 2, 6_400, true);

    private static EngineModel engine() {
        return new EngineModel(SPEC, new SplittableRandom(1));
    }

    private static EngineRun run(String id, int promptTokens, int answerTokens) {
        return new EngineRun(id, "w ".repeat(promptTokens), answerTokens, 0);
    }

    /** Steps the engine until {@code run} has ended; returns the simulated time in milliseconds. */
    private static double finish(EngineModel engine, EngineRun run) {
        long nanos = 0;
        engine.step(0);
        while (!run.ended()) {
            nanos += engine.stepNanos();
            engine.step(nanos / NANOS_PER_MILLI);
        }
        return (double) nanos / NANOS_PER_MILLI;
    }

    @Test
    public void singleRunTakesPrefillAndDecodeTime() {
        EngineModel engine = engine();
        EngineRun run = run("r", 100, 5);
        assertEquals(engine.submit(run), Admission.TAKEN);
        assertEquals(finish(engine, run), 100 + 5 * 20.0, 1);
        assertEquals(run.prefilledTokens, 100);
        assertEquals(run.streamEvents.size(), 6);
    }

    @Test
    public void fullBatchSlowsRunsAndQueuesOthersInOrder() {
        EngineModel engine = engine();
        EngineRun first = run("1", 1, 50);
        EngineRun second = run("2", 1, 50);
        EngineRun third = run("3", 1, 50);
        engine.submit(first);
        engine.submit(second);
        engine.submit(third);
        double millis = finish(engine, first);
        assertTrue(millis >= 50 * 23, "took " + millis);
        assertEquals(third.prefilledTokens, 0);
        finish(engine, third);
        assertEquals(third.state, State.FINISHED);
    }

    @Test
    public void cachedPrefixIsNotPrefilledUntilEvicted() {
        EngineModel engine = engine();
        EngineRun first = run("1", 640, 1);
        engine.submit(first);
        finish(engine, first);
        EngineRun again = run("2", 640, 1);
        engine.submit(again);
        finish(engine, again);
        assertEquals(again.prefilledTokens, 1);
        EngineRun other = new EngineRun("3", "x ".repeat(6_400), 1, 0);
        engine.submit(other);
        finish(engine, other);
        EngineRun last = run("4", 640, 1);
        engine.submit(last);
        finish(engine, last);
        assertEquals(last.prefilledTokens, 640);
    }

    @Test
    public void duplicateRunIdIsRejected() {
        EngineModel engine = engine();
        engine.submit(run("r", 1, 1));
        assertEquals(engine.submit(run("r", 1, 1)), Admission.DUPLICATE);
    }

    @Test
    public void cancelledRunLeavesBatchAndKeepsPrefillCount() {
        EngineModel engine = engine();
        EngineRun run = run("r", 400, 5);
        engine.submit(run);
        engine.step(0);
        engine.step(1);
        engine.cancel("r", 2);
        engine.step(3);
        assertEquals(run.state, State.CANCELLED);
        assertEquals(run.prefilledTokens, EngineModel.PREFILL_CHUNK_TOKENS);
        assertEquals(engine.running(), 0);
        assertEquals(engine.stepNanos(), -1);
    }

    @Test
    public void resumedRunSendsOnlyRemainingTokens() {
        EngineModel engine = engine();
        EngineRun run = new EngineRun("r", "w w w", 5, 3);
        engine.submit(run);
        finish(engine, run);
        assertEquals(run.streamEvents.peek(), new EngineRun.StreamEvent.Token(3));
        assertEquals(run.streamEvents.size(), 3);
    }

    @Test
    public void slowEngineScalesTimeBySpeedFactor() {
        EngineModel engine = engine();
        engine.setFaults(new EngineFaults(0.2, 0, 0, 0, 0, null, null, null, 0));
        EngineRun run = run("r", 100, 5);
        engine.submit(run);
        assertEquals(finish(engine, run), 5 * (100 + 5 * 20.0), 1);
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {new EngineFaults(1, 0, 1, 0, 0, null, null, null, 0), Admission.FAILED},
            {new EngineFaults(1, 0, 1, 5, 0, null, null, null, 0), Admission.TAKEN},
            {new EngineFaults(1, 0, 1, 0, 4, null, null, null, 0), Admission.TAKEN},
            {new EngineFaults(1, 0, 1, 0, 0, "route=x", null, null, 0), Admission.TAKEN},
            {new EngineFaults(1, 0, 1, 0, 0, "route=y", null, null, 0), Admission.FAILED},
            {new EngineFaults(1, 0, 1, 0, 0, null, "v2", null, 0), Admission.TAKEN},
            {new EngineFaults(1, 0, 0, 0, 0, null, null, "route=y", 0), Admission.CRASHED},
        };
    }

    @Test(dataProvider = "faults")
    public void faultsApplyOnlyToMatchingRuns(EngineFaults faults, Admission expected) {
        EngineModel engine = engine();
        engine.submit(run("earlier", 1, 1));
        engine.setFaults(faults);
        EngineRun run = new EngineRun("r", "route=y", 1, 0);
        assertEquals(engine.submit(run), expected);
    }

    @Test
    public void cacheEventsAreDelayedAndHaveGaps() {
        CacheEvents events = new CacheEvents();
        for (long block = 0; block < 40; block++) {
            events.add(java.util.List.of(block), java.util.List.of());
        }
        CacheEvents.Page page = events.after(0);
        assertTrue(page.gap());
        assertTrue(page.next() < 40);
        assertTrue(page.stored().size() < page.next());
    }
}
