package org.orioleshed.gateway;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.orioleshed.catalog.BadCatalogException;
import org.orioleshed.catalog.Catalog;
import org.orioleshed.catalog.CatalogDecoder;
import org.orioleshed.catalog.MoveOrder;
import org.orioleshed.catalog.MoveOutcome;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.model.ServiceId;
import org.orioleshed.model.VersionId;
import org.orioleshed.store.MemoryStore;
import org.orioleshed.store.Store;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link MoveRecorder}. */
public class MoveRecorderTest {
    private static final MoveOrder ORDER =
            new MoveOrder(new ServiceId("s"), new VersionId("v2"), 12_000, 0);
    private static final String KEY = "outcome/s";

    private final List<MoveOutcome> recorded = new CopyOnWriteArrayList<>();
    private MemoryStore store;
    private ScheduledExecutorService executor;
    private MoveRecorder recorder;

    /** Writes outcomes by their names. */
    private static final class Names implements CatalogDecoder {
        @Override
        public String configKey() {
            return "config";
        }

        @Override
        public String operatorPrefix() {
            return "config";
        }

        @Override
        public String serversPrefix() {
            return "servers/";
        }

        @Override
        public Catalog config(byte[] value) throws BadCatalogException {
            throw new BadCatalogException("none");
        }

        @Override
        public PoolServer server(String key, byte[] value) throws BadCatalogException {
            throw new BadCatalogException("none");
        }

        @Override
        public Optional<MoveOrder> order(String key, byte[] value, long revision) {
            return Optional.empty();
        }

        @Override
        public String outcomeKey(ServiceId service) {
            return KEY;
        }

        @Override
        public byte[] encodeOutcome(MoveOrder order, MoveOutcome outcome) {
            return outcome.name().getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public Optional<MoveOutcome> outcome(MoveOrder order, byte[] value) {
            return Optional.of(MoveOutcome.valueOf(new String(value, StandardCharsets.UTF_8)));
        }
    }

    @BeforeMethod
    public void open() {
        store = new MemoryStore();
        recorded.clear();
        executor = Executors.newSingleThreadScheduledExecutor();
        recorder =
                new MoveRecorder(
                        store,
                        new Names(),
                        executor,
                        (order, outcome) -> recorded.add(outcome),
                        line -> {});
    }

    @AfterMethod
    public void close() {
        executor.shutdownNow();
    }

    private String stored() {
        Store.Result result = store.get(KEY, 100).join();
        return ((Store.Result.Entries) result).entries().getFirst().value().text();
    }

    private void awaitRecorded(int count) {
        long end = System.nanoTime() + 20_000_000_000L;
        while (recorded.size() < count) {
            if (System.nanoTime() > end) {
                throw new AssertionError("recorded only " + recorded);
            }
            Thread.onSpinWait();
        }
    }

    @Test
    public void recordsEachStateInTurn() {
        recorder.record(ORDER, MoveOutcome.RUNNING);
        awaitRecorded(1);
        recorder.record(ORDER, MoveOutcome.COMPLETED);
        awaitRecorded(2);
        assertEquals(stored(), "COMPLETED");
    }

    @Test
    public void aFinalOutcomeOfAnotherHostStands() {
        store.put(KEY, "TAKEN_BACK");
        recorder.record(ORDER, MoveOutcome.COMPLETED);
        awaitRecorded(1);
        assertEquals(recorded, List.of(MoveOutcome.TAKEN_BACK));
        assertEquals(stored(), "TAKEN_BACK");
    }

    @Test
    public void aLostAnswerIsSettledByReading() {
        store.loseAnswers(1);
        recorder.record(ORDER, MoveOutcome.COMPLETED);
        awaitRecorded(1);
        assertEquals(recorded, List.of(MoveOutcome.COMPLETED));
        assertEquals(stored(), "COMPLETED");
    }

    @Test
    public void aStoreThatIsAwayIsTriedAgain() {
        store.setAway(true);
        recorder.record(ORDER, MoveOutcome.TAKEN_BACK);
        store.setAway(false);
        awaitRecorded(1);
        assertEquals(stored(), "TAKEN_BACK");
    }
}
