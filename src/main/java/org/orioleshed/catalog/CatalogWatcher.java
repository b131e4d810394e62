package org.orioleshed.catalog;

import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.orioleshed.model.Payload;
import org.orioleshed.store.Store;
import org.orioleshed.store.StoreRevision;

/**
 * Keeps a host's catalog up to date from watches of the store and from peers. Revisions never
 * decrease. All work runs on one executor's thread.
 */
public final class CatalogWatcher {
    private static final long CALL_TIMEOUT_MILLIS = 1_500;
    private static final long FIRST_RETRY_MILLIS = 150;
    private static final long MAX_RETRY_MILLIS = 1_000;
    private static final int MAX_DOUBLINGS = 4;

    /** The age of the last confirmation of a host without one. */
    private static final long NEVER_NANOS = TimeUnit.DAYS.toNanos(1);

    /**
     * A list that takes longer was probably sent during an outage: the store answers within some
     * milliseconds.
     */
    private static final long SLOW_LIST_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final Store store;
    private final CatalogState state;
    private final ScheduledExecutorService executor;
    private final RandomGenerator random;
    private final Consumer<String> log;
    private final PrefixWatcher operatorWatcher;
    private final PrefixWatcher serverWatcher;
    private Consumer<CatalogSnapshot> listener = snapshot -> {};
    private boolean following = true;
    private boolean publishedSettled;

    /**
     * Creates a watcher; {@link #start} starts it.
     *
     * @param executor a single-threaded executor
     * @param random the source of the jitter of retries
     * @param log receives a line for each change
     */
    public CatalogWatcher(
            Store store,
            CatalogDecoder decoder,
            ScheduledExecutorService executor,
            RandomGenerator random,
            Consumer<String> log) {
        this.store = store;
        this.state = new CatalogState(decoder, log);
        this.executor = executor;
        this.random = random;
        this.log = log;
        this.operatorWatcher = new PrefixWatcher(decoder.operatorPrefix());
        this.serverWatcher = new PrefixWatcher(decoder.serversPrefix());
    }

    /**
     * Starts reading and watching the store.
     *
     * @param newListener receives each new snapshot, on the executor's thread
     */
    public void start(Consumer<CatalogSnapshot> newListener) {
        executor.execute(
                () -> {
                    listener = newListener;
                    operatorWatcher.list();
                    serverWatcher.list();
                });
    }

    /**
     * Enables or disables the watches. Without them this host reads the store once and then depends
     * on peers. May be called repeatedly, from any thread.
     */
    public void follow(boolean enabled) {
        executor.execute(
                () -> {
                    following = enabled;
                    operatorWatcher.updateWatch();
                    serverWatcher.updateWatch();
                });
    }

    /**
     * Applies a peer's entries that are later than those of this host. May be called from any
     * thread.
     */
    public void adopt(Optional<EntryChange> operators, Optional<EntryChange> servers) {
        executor.execute(
                () -> {
                    if (state.adopt(operators, servers, System.nanoTime())) {
                        publish();
                        scheduleExpiry();
                    }
                });
    }

    /**
     * Returns when the store last confirmed all of this host's entries, by the monotonic clock. May
     * be called from any thread.
     */
    public long confirmedNanos() {
        long operatorsNanos = operatorWatcher.confirmedNanos;
        long serversNanos = serverWatcher.confirmedNanos;
        return operatorsNanos - serversNanos < 0 ? operatorsNanos : serversNanos;
    }

    private void publish() {
        publishedSettled = serverWatcher.isSettled();
        listener.accept(state.snapshot(publishedSettled));
    }

    /** Schedules the check for servers whose entries were removed and did not return. */
    private void scheduleExpiry() {
        if (!serverWatcher.isSettled()) {
            executor.schedule(this::expire, serverWatcher.unsettledNanos(), TimeUnit.NANOSECONDS);
        }
        if (state.hasPendingRemovals()) {
            executor.schedule(this::expire, CatalogState.RECOVERY_NANOS, TimeUnit.NANOSECONDS);
        }
    }

    private void expire() {
        boolean dropped = state.expire(System.nanoTime());
        if (dropped || publishedSettled != serverWatcher.isSettled()) {
            publish();
        }
    }

    /**
     * Lists the entries under one key prefix, then watches them; lists them again if the watch
     * fails.
     */
    private final class PrefixWatcher implements Store.Watcher {
        private final String prefix;
        private boolean available = true;
        private long availableSinceNanos;

        /** When the store last confirmed this host's entries; read by other threads. */
        private volatile long confirmedNanos = System.nanoTime() - NEVER_NANOS;

        private StoreRevision listedRevision = StoreRevision.NONE;
        private int failures;
        private int unconfirmedBreaks;
        private boolean listPending;
        private Store.Watch watch;

        PrefixWatcher(String prefix) {
            this.prefix = prefix;
            this.availableSinceNanos = System.nanoTime() - CatalogState.RECOVERY_NANOS;
        }

        private boolean isServers() {
            return this == serverWatcher;
        }

        /** Opens or closes the watch as enabled. */
        void updateWatch() {
            if (!following && watch != null) {
                watch.close();
                watch = null;
            }
            if (following && watch == null && !listPending) {
                list();
            }
        }

        void list() {
            listPending = true;
            long sentNanos = System.nanoTime();
            store.list(prefix, CALL_TIMEOUT_MILLIS)
                    .thenAcceptAsync(result -> onListed(result, sentNanos), executor);
        }

        private void onListed(Store.Result result, long sentNanos) {
            listPending = false;
            if (!(result instanceof Store.Result.Entries entries)) {
                onFailure("list=" + result);
                return;
            }
            if (System.nanoTime() - sentNanos > SLOW_LIST_NANOS) {
                onOutage("list_answered_late");
            }
            confirmedNanos = sentNanos;
            onSuccess();
            detectRestore(entries.storeRevision());
            if (isServers()) {
                applyServers(entries);
            } else {
                applyOperators(entries);
            }
            if (following && watch == null) {
                watch = store.watch(prefix, entries.storeRevision().next(), this);
            }
        }

        private void applyServers(Store.Result.Entries listed) {
            state.list(
                    listed.entries(),
                    listed.storeRevision(),
                    isSettled(),
                    availableSinceNanos,
                    "store");
            publish();
            scheduleExpiry();
        }

        private void applyOperators(Store.Result.Entries listed) {
            if (state.listOperators(listed.entries(), listed.storeRevision(), System.nanoTime())) {
                publish();
            }
        }

        private void applyOperator(String key, Optional<Payload> value, StoreRevision revision) {
            long nowNanos = System.nanoTime();
            boolean changed =
                    value.map(
                                    it ->
                                            state.operatorWatched(
                                                    new Store.Entry(key, it, revision), nowNanos))
                            .orElseGet(() -> state.removeOperator(key, revision, nowNanos));
            if (changed) {
                publish();
            }
        }

        private void onSuccess() {
            failures = 0;
            if (!available) {
                available = true;
                availableSinceNanos = System.nanoTime();
                log.accept("event=store_back prefix=%s".formatted(prefix));
            }
        }

        /**
         * Detects that the store came back from a copy, which is an outage even if this host did
         * not notice one: live servers may be missing. What operators have not written again within
         * the recovery time is read once more.
         */
        private void detectRestore(StoreRevision revision) {
            boolean restored =
                    !listedRevision.isNone() && revision.isOfLaterEraThan(listedRevision);
            if (restored) {
                availableSinceNanos = System.nanoTime();
                log.accept(
                        "event=store_restored prefix=%s revision=%s before=%s"
                                .formatted(prefix, revision, listedRevision));
                executor.schedule(this::list, CatalogState.RECOVERY_NANOS, TimeUnit.NANOSECONDS);
            }
            listedRevision = revision;
        }

        private void onOutage(String detail) {
            if (available) {
                available = false;
                log.accept("event=store_lost prefix=%s reason=\"%s\"".formatted(prefix, detail));
            }
        }

        private void onFailure(String detail) {
            onOutage(detail);
            if (!following && state.hasConfig()) {
                return;
            }
            listAfter(backoffMillis(failures));
            failures = Math.min(failures + 1, MAX_DOUBLINGS);
        }

        private long backoffMillis(int doublings) {
            long maxMillis = Math.min(MAX_RETRY_MILLIS, FIRST_RETRY_MILLIS << doublings);
            return maxMillis / 2 + random.nextLong(maxMillis / 2 + 1);
        }

        private void listAfter(long waitMillis) {
            listPending = true;
            executor.schedule(this::list, waitMillis, TimeUnit.MILLISECONDS);
        }

        @Override
        public void onChange(String key, Optional<Payload> value, StoreRevision revision) {
            executor.execute(() -> applyChange(key, value, revision));
        }

        private void applyChange(String key, Optional<Payload> value, StoreRevision revision) {
            if (!isServers()) {
                applyOperator(key, value, revision);
                return;
            }
            if (value.isPresent()) {
                state.put(new Store.Entry(key, value.get(), revision), "store");
            } else {
                state.remove(key, revision, isSettled(), availableSinceNanos, "store");
            }
            publish();
            scheduleExpiry();
        }

        /**
         * Returns whether the store has been available long enough for all live servers to be
         * registered.
         */
        boolean isSettled() {
            return available
                    && System.nanoTime() - availableSinceNanos >= CatalogState.RECOVERY_NANOS;
        }

        /** Returns the time until {@link #isSettled}, if the store stays available. */
        long unsettledNanos() {
            return availableSinceNanos + CatalogState.RECOVERY_NANOS - System.nanoTime();
        }

        @Override
        public void onConfirmed() {
            confirmedNanos = System.nanoTime();
            executor.execute(() -> unconfirmedBreaks = 0);
        }

        @Override
        public void onBreak(String detail) {
            executor.execute(() -> applyBreak(detail));
        }

        /**
         * Lists at once after the end of a watch, which says nothing about the store: the list
         * shows whether it is available.
         */
        private void applyBreak(String detail) {
            watch = null;
            log.accept("event=watch_ended prefix=%s reason=\"%s\"".formatted(prefix, detail));
            if (!following) {
                return;
            }
            listAfter(unconfirmedBreaks == 0 ? 0 : backoffMillis(unconfirmedBreaks));
            unconfirmedBreaks = Math.min(unconfirmedBreaks + 1, MAX_DOUBLINGS);
        }
    }
}
