package org.orioleshed.trial;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link ModelEngine}, driven step by step. */
public class ModelEngineTest {
    private static final RequestKind SHORT =
            new RequestKind("short", 0, 1, 100, 20, 500, 5_000, 1, 0.5);
    private static final RequestKind LONG =
            new RequestKind("long", 0, 1, 1_024, 20, 500, 5_000, 1, 0.5);

    private final List<String> told = new ArrayList<>();
    private double millis;

    private ModelEngine engine(int slots, long memoryTokens) {
        told.clear();
        millis = 0;
        return new ModelEngine(
                new ModelEngine.Spec(slots, memoryTokens, 10, 4, 1, 100, 1),
                new ModelEngine.Listener() {
                    @Override
                    public void event(TrialRequest request, int events) {
                        told.add(request.number + " event " + events);
                    }

                    @Override
                    public void ended(TrialRequest request, int events) {
                        told.add(request.number + " ended " + events);
                    }
                });
    }

    private static TrialRequest request(long number, RequestKind kind) {
        return new TrialRequest(number, kind, 0);
    }

    /** Lets an engine work until it is idle. */
    private void work(ModelEngine engine) {
        for (long nanos = engine.begin(); nanos > 0; nanos = engine.begin()) {
            millis += nanos / 1e6;
            engine.end();
        }
    }

    @Test
    public void readsAPromptAndThenSpeaks() {
        ModelEngine engine = engine(2, 10_000);
        assertTrue(engine.submit(request(1, SHORT)));
        work(engine);
        assertEquals(told, List.of("1 event 1", "1 ended 2"));
        assertEquals(millis, 1 + 20 * 4.0, 1e-6);
    }

    @Test
    public void longPromptsAreReadInChunksBesideTheOthersSteps() {
        ModelEngine engine = engine(2, 10_000);
        engine.submit(request(1, SHORT));
        engine.begin();
        engine.end();
        engine.submit(request(2, LONG));
        double twoSteps = engine.begin() / 1e6;
        engine.end();
        assertEquals(twoSteps, 5.12 + 4, 1e-6);
    }

    /** Returns slots and memory that hold one run only. */
    @DataProvider
    public static Object[][] roomForOne() {
        return new Object[][] {{1, 10_000L}, {4, 150L}};
    }

    @Test(dataProvider = "roomForOne")
    public void whoComesLaterWaitsForAPlaceAndForMemory(int slots, long memoryTokens) {
        ModelEngine engine = engine(slots, memoryTokens);
        engine.submit(request(1, SHORT));
        engine.submit(request(2, SHORT));
        work(engine);
        assertEquals(told, List.of("1 event 1", "1 ended 2", "2 event 1", "2 ended 2"));
    }

    @Test
    public void theNewestRunIsPutBackAndReadAgainWhenMemoryIsFull() {
        ModelEngine engine = engine(4, 210);
        engine.submit(request(1, SHORT));
        engine.submit(request(2, SHORT));
        work(engine);
        assertEquals(told.getLast(), "2 ended 2");
        assertTrue(millis > 2 + 20 * 5, "took " + millis);
    }

    @Test
    public void aCancelledRunFreesItsPlace() {
        ModelEngine engine = engine(1, 10_000);
        TrialRequest gone = request(1, LONG);
        engine.submit(gone);
        engine.submit(request(2, SHORT));
        engine.begin();
        engine.cancel(gone);
        engine.end();
        work(engine);
        assertEquals(told, List.of("2 event 1", "2 ended 2"));
    }

    @Test
    public void anEngineWhoseOnlyRunIsCancelledEndsItsStepBeforeTheNext() {
        ModelEngine engine = engine(1, 10_000);
        TrialRequest gone = request(1, LONG);
        assertTrue(engine.submit(gone));
        engine.begin();
        engine.cancel(gone);
        assertFalse(engine.submit(request(2, SHORT)));
    }
}
