package org.orioleshed.trial;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards admission, chunked prefill, preemption and cancellation of {@link SimulatedEngine}. */
public class SimulatedEngineTest {
    private static final RequestKind SHORT =
            new RequestKind("short", 0, 1, 100, 20, 500, 5_000, 1, 0.5);
    private static final RequestKind LONG =
            new RequestKind("long", 0, 1, 1_024, 20, 500, 5_000, 1, 0.5);

    private final List<String> events = new ArrayList<>();
    private double millis;

    private SimulatedEngine engine(int slots, long memoryTokens) {
        events.clear();
        millis = 0;
        return new SimulatedEngine(
                new SimulatedEngine.Spec(slots, memoryTokens, 10, 4, 1, 100, 1),
                new SimulatedEngine.Listener() {
                    @Override
                    public void onEvent(TrialRequest request, int count) {
                        events.add(request.id + " event " + count);
                    }

                    @Override
                    public void onCompleted(TrialRequest request, int count) {
                        events.add(request.id + " ended " + count);
                    }
                });
    }

    private static TrialRequest request(long id, RequestKind kind) {
        return new TrialRequest(id, kind, 0);
    }

    /** Runs an engine until it is idle. */
    private void runUntilIdle(SimulatedEngine engine) {
        for (long nanos = engine.beginStep(); nanos > 0; nanos = engine.beginStep()) {
            millis += nanos / 1e6;
            engine.endStep();
        }
    }

    @Test
    public void prefillsPromptThenDecodes() {
        SimulatedEngine engine = engine(2, 10_000);
        assertTrue(engine.submit(request(1, SHORT)));
        runUntilIdle(engine);
        assertEquals(events, List.of("1 event 1", "1 ended 2"));
        assertEquals(millis, 1 + 20 * 4.0, 1e-6);
    }

    @Test
    public void longPromptIsPrefilledInChunksBesideDecodeSteps() {
        SimulatedEngine engine = engine(2, 10_000);
        engine.submit(request(1, SHORT));
        engine.beginStep();
        engine.endStep();
        engine.submit(request(2, LONG));
        double stepMillis = engine.beginStep() / 1e6;
        engine.endStep();
        assertEquals(stepMillis, 5.12 + 4, 1e-6);
    }

    /** Returns slots and memory tokens that admit only one run. */
    @DataProvider
    public static Object[][] capacitiesForOneRun() {
        return new Object[][] {{1, 10_000L}, {4, 150L}};
    }

    @Test(dataProvider = "capacitiesForOneRun")
    public void laterRunWaitsForSlotAndMemory(int slots, long memoryTokens) {
        SimulatedEngine engine = engine(slots, memoryTokens);
        engine.submit(request(1, SHORT));
        engine.submit(request(2, SHORT));
        runUntilIdle(engine);
        assertEquals(events, List.of("1 event 1", "1 ended 2", "2 event 1", "2 ended 2"));
    }

    @Test
    public void newestRunIsPreemptedAndPrefilledAgainWhenMemoryIsFull() {
        SimulatedEngine engine = engine(4, 210);
        engine.submit(request(1, SHORT));
        engine.submit(request(2, SHORT));
        runUntilIdle(engine);
        assertEquals(events.getLast(), "2 ended 2");
        assertTrue(millis > 2 + 20 * 5, "took " + millis);
    }

    @Test
    public void cancelledRunFreesItsSlot() {
        SimulatedEngine engine = engine(1, 10_000);
        TrialRequest cancelled = request(1, LONG);
        engine.submit(cancelled);
        engine.submit(request(2, SHORT));
        engine.beginStep();
        engine.cancel(cancelled);
        engine.endStep();
        runUntilIdle(engine);
        assertEquals(events, List.of("2 event 1", "2 ended 2"));
    }

    @Test
    public void stepInProgressEndsBeforeNextAfterOnlyRunIsCancelled() {
        SimulatedEngine engine = engine(1, 10_000);
        TrialRequest cancelled = request(1, LONG);
        assertTrue(engine.submit(cancelled));
        engine.beginStep();
        engine.cancel(cancelled);
        assertFalse(engine.submit(request(2, SHORT)));
    }
}
