package org.orioleshed.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** Tests {@link RequestQueue} against a scan of the queue. */
public class RequestQueueTest {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Guards against sizes of queued work that drift from what is queued. */
    @Test
    public void theSizesByRankEqualThoseOfAScan() {
        SplittableRandom random = new SplittableRandom(3);
        RequestQueue queue = new RequestQueue();
        for (int run = 0; run < 2_000; run++) {
            long prompt = random.nextInt(3) == 0 ? 0 : 1 + random.nextInt(5_000);
            queue.add(queued(run, random.nextInt(4), random.nextInt(900), prompt));
            if (random.nextInt(3) > 0) {
                var unused = queue.remove(SchedulerFixture.key(random.nextInt(run + 1)));
            }
            if (run % 50 == 0) {
                queue.moveLate(random.nextInt(600) * NANOS_PER_MILLI);
            }
            int rank = random.nextInt(4);
            long scanned =
                    queue.all().stream()
                            .filter(queued -> queued.request().rank() <= rank)
                            .mapToLong(queued -> queued.request().promptTokens())
                            .sum();
            assertEquals(queue.workUpTo(rank).promptTokens(), scanned);
            assertEquals(
                    queue.hasRankUpTo(rank),
                    queue.all().stream().anyMatch(queued -> queued.request().rank() <= rank));
        }
    }

    /** Guards against requests that are skipped, or served twice, while others are removed. */
    @Test
    public void theCursorVisitsEachRequestOnceInOrderWhileRequestsAreRemoved() {
        RequestQueue queue = new RequestQueue();
        queue.add(queued(1, 1, 100, 10));
        queue.add(queued(2, 0, 900, 10));
        queue.add(queued(3, 1, 700, 10));
        queue.add(queued(4, 0, 100, 10));
        queue.moveLate(500 * NANOS_PER_MILLI);
        List<Long> visited = new ArrayList<>();
        RequestQueue.Cursor cursor = queue.cursor();
        for (QueuedRequest next = cursor.next(); next != null; next = cursor.next()) {
            visited.add(next.run().number());
            var unused = queue.remove(next.run());
        }
        assertEquals(visited, List.of(2L, 4L, 3L, 1L));
        assertNull(queue.cursor().next());
        assertFalse(queue.hasRankUpTo(Integer.MAX_VALUE));
        assertTrue(queue.workUpTo(Integer.MAX_VALUE).isEmpty());
    }

    private static QueuedRequest queued(int run, int rank, long target, long prompt) {
        PlacementRequest request =
                SchedulerFixture.request(rank, target, 10_000, prompt, prompt / 10);
        return new QueuedRequest(SchedulerFixture.key(run), request, 0, run);
    }
}
