package org.orioleshed.standin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.orioleshed.standin.StoreModel.Change;
import org.testng.annotations.Test;

/** Guards revisions, leases, history and rate limits of the stand-in store. */
public class StoreModelTest {
    private static void write(StoreModel store, String key, long lease) {
        store.beginWrite();
        store.put(key, "dg==", lease);
    }

    @Test
    public void eachWriteHasItsOwnRevision() {
        StoreModel store = new StoreModel();
        write(store, "a", 0);
        write(store, "a", 0);
        StoreModel.Item item = store.get("a").orElseThrow();
        assertEquals(item.modRevision(), store.revision());
        assertEquals(item.createRevision(), store.revision() - 1);
        assertEquals(item.version(), 2);
    }

    @Test
    public void expiredLeaseDeletesItsKeys() {
        StoreModel store = new StoreModel();
        long lease = store.grantLease(1_000, 0);
        write(store, "held", lease);
        assertEquals(store.keepAlive(lease, 900), 1_000);
        store.expireLeases(1_800);
        assertTrue(store.get("held").isPresent());
        store.expireLeases(1_900);
        assertFalse(store.get("held").isPresent());
        assertEquals(store.keepAlive(lease, 1_901), 0);
    }

    @Test
    public void changesAreFilteredByRevisionAndRange() {
        StoreModel store = new StoreModel();
        write(store, "a/1", 0);
        long from = store.revision() + 1;
        write(store, "a/2", 0);
        write(store, "b/1", 0);
        store.beginWrite();
        store.delete("a/1", "");
        List<Change> changes = store.changes("a/", "a0", from);
        assertEquals(changes.stream().map(Change::key).toList(), List.of("a/2", "a/1"));
        assertTrue(changes.get(1).item().isEmpty());
    }

    @Test
    public void tokenBucketRefusesCallsAboveRateUntilRefill() {
        TokenBucket bucket = new TokenBucket(2, 0);
        assertTrue(bucket.tryAcquire(0));
        assertTrue(bucket.tryAcquire(0));
        assertFalse(bucket.tryAcquire(0));
        assertTrue(bucket.tryAcquire(500));
    }
}
