package org.orioleshed.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** Tests what a host buffers for slow callers. */
public class BufferBudgetTest {
    private static final long BUDGET_BYTES = 40 << 20;
    private static final int PART_BYTES = 16 << 10;

    private static BufferBudget<Integer> budget() {
        BufferBudget<Integer> budget = new BufferBudget<>();
        budget.limit(BUDGET_BYTES);
        return budget;
    }

    /**
     * Guards against memory that grows with the number of callers that do not read, and against a
     * budget that is kept only by cutting callers off.
     */
    @Test
    public void thousandSlowReadersStayWithinTheBudget() {
        BufferBudget<Integer> budget = budget();
        long[] bytes = new long[1_000];
        SplittableRandom random = new SplittableRandom(3);
        long peakBytes = 0;
        int cutOff = 0;
        for (int i = 0; i < 200_000; i++) {
            int caller = random.nextInt(bytes.length);
            if (bytes[caller] < 0 || (bytes[caller] > 0 && !budget.mayBuffer(caller))) {
                continue;
            }
            bytes[caller] += PART_BYTES;
            budget.update(caller, bytes[caller], i);
            peakBytes = Math.max(peakBytes, budget.totalBytes());
            Optional<Integer> slowest = budget.cutOff();
            if (slowest.isPresent()) {
                bytes[slowest.get()] = -1;
                budget.update(slowest.get(), 0, i);
                cutOff++;
            }
        }
        assertTrue(peakBytes <= BUDGET_BYTES + PART_BYTES, "peak " + peakBytes);
        assertTrue(peakBytes >= BUDGET_BYTES / 2, "peak " + peakBytes);
        assertTrue(cutOff <= bytes.length / 20, "cut off " + cutOff);
    }

    /** Guards against a single slow reader that is paused while memory is free. */
    @Test
    public void fewSlowReadersGetMuch() {
        BufferBudget<Integer> budget = budget();
        budget.update(1, 4 << 20, 0);
        assertTrue(budget.mayBuffer(1));
        budget.update(1, 5 << 20, 0);
        assertFalse(budget.mayBuffer(1));
    }

    @Test
    public void theSlowestIsCutOffBeyondTheBudget() {
        BufferBudget<Integer> budget = budget();
        budget.update(1, 1, 10);
        budget.update(2, 1, 20);
        budget.update(1, 0, 30);
        budget.update(1, BUDGET_BYTES, 40);
        assertEquals(budget.cutOff(), Optional.of(2));
        budget.update(2, 0, 50);
        assertEquals(budget.cutOff(), Optional.empty());
    }

    @Test
    public void largeRequestsAreRefusedAndSmallOnesRead() {
        BufferBudget<Integer> budget = budget();
        assertTrue(budget.mayRead(4 << 20));
        budget.update(1, BUDGET_BYTES - (8 << 20), 0);
        assertFalse(budget.mayRead(4 << 20));
        budget.update(1, BUDGET_BYTES, 0);
        assertTrue(budget.mayRead(1_000));
    }

    /** Guards against a changed behaviour where no memory is stated. */
    @Test
    public void withoutABudgetNothingIsBufferedOrRefused() {
        BufferBudget<Integer> budget = new BufferBudget<>();
        budget.update(1, 1 << 30, 0);
        assertFalse(budget.mayBuffer(1));
        assertTrue(budget.mayRead(1 << 30));
        assertEquals(budget.cutOff(), Optional.empty());
    }
}
