package org.orioleshed.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.orioleshed.model.Payload;

/**
 * A port to the platform's key-value service. Futures never fail: every way to go wrong is a {@link
 * Result}. A call that the client's own budget turns down is {@link Result.Away}.
 */
public interface Store extends AutoCloseable {
    /** Reads one key. */
    CompletableFuture<Result> get(String key, long timeoutMillis);

    /**
     * Reads one key if it changed after a revision; a store that can't tell answers as {@link
     * #get}.
     *
     * @param afterRevision the modification revision last read
     */
    default CompletableFuture<Result> getNewer(String key, long afterRevision, long timeoutMillis) {
        return get(key, timeoutMillis);
    }

    /** Reads all keys that start with {@code prefix}. */
    CompletableFuture<Result> list(String prefix, long timeoutMillis);

    /**
     * Writes a key if its modification revision is still {@code expectedRevision}.
     *
     * @param expectedRevision the revision last read; zero when the key must not exist
     * @param leaseId the lease that the key hangs on; zero for none
     */
    CompletableFuture<Result> swap(
            String key, long expectedRevision, Payload value, long leaseId, long timeoutMillis);

    /** Grants a lease; answered by {@link Result.Lease}. */
    CompletableFuture<Result> grantLease(long ttlMillis, long timeoutMillis);

    /** Keeps a lease alive; answered by {@link Result.Lease}. */
    CompletableFuture<Result> keepAlive(long leaseId, long timeoutMillis);

    /**
     * Watches all keys that start with {@code prefix} from {@code fromRevision} on, until the watch
     * is closed. The watcher hears of breaks and is not called again after one.
     */
    Watch watch(String prefix, long fromRevision, Watcher watcher);

    /** Ends all calls. */
    @Override
    void close();

    /** One key's value. */
    record Entry(String key, Payload value, long revision) {}

    /** A running watch. */
    interface Watch extends AutoCloseable {
        @Override
        void close();
    }

    /** Hears of changes; called on the store client's threads and must not block. */
    interface Watcher {
        /** Keys changed; a value is empty when the key was deleted. */
        void onChange(String key, Optional<Payload> value, long revision);

        /** The watch broke off or went silent; start another. */
        void onBreak(String detail);
    }

    /** What the store said. */
    sealed interface Result {
        /** Entries read, and the store's revision at that moment. */
        record Entries(List<Entry> entries, long storeRevision) implements Result {
            /** Copies the list. */
            public Entries {
                entries = List.copyOf(entries);
            }
        }

        /** The swap took effect at {@code revision}. */
        record Swapped(long revision) implements Result {}

        /** The swap did not take effect; the present entry is given. */
        record Conflict(Optional<Entry> present) implements Result {}

        /** A lease granted or kept, with the time it has left, in milliseconds. */
        record Lease(long leaseId, long ttlMillis) implements Result {}

        /** The answer was lost: a write may have taken effect. */
        record Unknown(String detail) implements Result {}

        /** The call was refused or never made: a write did not take effect. */
        record Away(String detail) implements Result {}
    }
}
