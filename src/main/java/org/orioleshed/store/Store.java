package org.orioleshed.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.orioleshed.model.Payload;

/**
 * A client of the platform's key-value service. Futures never complete exceptionally: every failure
 * is a {@link Result}. A call rejected by the client's own rate limit is {@link
 * Result.Unavailable}.
 */
public interface Store extends AutoCloseable {
    /**
     * Reads one key.
     *
     * @param timeoutMillis how long to wait for the response, in milliseconds
     */
    CompletableFuture<Result> get(String key, long timeoutMillis);

    /**
     * Reads one key if it was modified after a revision. A store without such reads returns the key
     * as {@link #get} does.
     *
     * @param afterRevision the modification revision last read
     * @param timeoutMillis how long to wait for the response, in milliseconds
     */
    default CompletableFuture<Result> getNewer(
            String key, StoreRevision afterRevision, long timeoutMillis) {
        return get(key, timeoutMillis);
    }

    /**
     * Reads all keys that start with {@code prefix}.
     *
     * @param timeoutMillis how long to wait for the response, in milliseconds
     */
    CompletableFuture<Result> list(String prefix, long timeoutMillis);

    /**
     * Writes a key if its modification revision is still {@code expectedRevision}.
     *
     * @param expectedRevision the revision last read; {@link StoreRevision#NONE} if the key must
     *     not exist
     * @param leaseId the lease to attach the key to; zero for none
     * @param timeoutMillis how long to wait for the response, in milliseconds
     */
    CompletableFuture<Result> swap(
            String key,
            StoreRevision expectedRevision,
            Payload value,
            long leaseId,
            long timeoutMillis);

    /**
     * Grants a lease; completes with {@link Result.Lease}.
     *
     * @param ttlMillis the time to live of the lease, in milliseconds
     * @param timeoutMillis how long to wait for the response, in milliseconds
     */
    CompletableFuture<Result> grantLease(long ttlMillis, long timeoutMillis);

    /**
     * Renews a lease; completes with {@link Result.Lease}.
     *
     * @param timeoutMillis how long to wait for the response, in milliseconds
     */
    CompletableFuture<Result> keepAlive(long leaseId, long timeoutMillis);

    /**
     * Watches all keys that start with {@code prefix} from {@code fromRevision} on, until the watch
     * is closed or breaks. The watcher is notified of a break and not called again after it.
     */
    Watch watch(String prefix, StoreRevision fromRevision, Watcher watcher);

    /** Closes the client and ends all calls and watches. */
    @Override
    void close();

    /** The value of a key and its modification revision. */
    record Entry(String key, Payload value, StoreRevision revision) {}

    /** An open watch. */
    interface Watch extends AutoCloseable {
        @Override
        void close();
    }

    /** Receives changes. Called on the store client's threads; must not block. */
    interface Watcher {
        /** Handles a changed key; the value is empty if the key was deleted. */
        void onChange(String key, Optional<Payload> value, StoreRevision revision);

        /** The store confirmed that all changes so far were reported. */
        default void onConfirmed() {}

        /** Handles the failure or silence of the watch; the caller must start another one. */
        void onBreak(String detail);
    }

    /** The result of a call. */
    sealed interface Result {
        /** The entries read and the store's revision at the time of the read. */
        record Entries(List<Entry> entries, StoreRevision storeRevision) implements Result {
            /** Copies the list. */
            public Entries {
                entries = List.copyOf(entries);
            }
        }

        /** The swap took effect at {@code revision}. */
        record Swapped(StoreRevision revision) implements Result {}

        /**
         * The swap did not take effect; {@code present} is the current entry, if the key exists.
         */
        record Conflict(Optional<Entry> present) implements Result {}

        /**
         * A lease was granted or renewed and has {@code ttlMillis} left.
         *
         * @param era the store's era, see {@link StoreRevision}; a lease of an earlier one is gone,
         *     and its id may belong to another holder
         */
        record Lease(long leaseId, long ttlMillis, long era) implements Result {
            /** Creates the lease of a store that states no eras. */
            public Lease(long leaseId, long ttlMillis) {
                this(leaseId, ttlMillis, 0);
            }
        }

        /** The response was lost or unusable: a write may have taken effect. */
        record Unknown(String detail) implements Result {}

        /** The call was rejected or not sent: a write did not take effect. */
        record Unavailable(String detail) implements Result {}
    }
}
