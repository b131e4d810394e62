package org.orioleshed.catalog;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.orioleshed.model.Payload;
import org.orioleshed.store.Store;

/**
 * Keeps the configuration and the servers in force, from the store's watches and from what peers
 * know. Revisions only rise. All work is done on one executor's thread.
 */
public final class CatalogWatcher {
    private static final long CALL_TIMEOUT_MILLIS = 1_500;
    private static final long FIRST_RETRY_MILLIS = 150;
    private static final long MAX_RETRY_MILLIS = 1_000;

    private final Store store;
    private final CatalogState state;
    private final ScheduledExecutorService executor;
    private final RandomGenerator random;
    private final Consumer<String> log;
    private final Followed configWatch;
    private final Followed serverWatch;
    private Consumer<CatalogSnapshot> listener = snapshot -> {};
    private boolean following = true;
    private boolean toldSettled;

    /**
     * Makes one that does nothing yet.
     *
     * @param log takes a line for each change of belief
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
        this.configWatch = new Followed(decoder.operatorPrefix());
        this.serverWatch = new Followed(decoder.serversPrefix());
    }

    /**
     * Starts to read and watch the store.
     *
     * @param newListener takes each new state, on the executor's thread
     */
    public void start(Consumer<CatalogSnapshot> newListener) {
        executor.execute(
                () -> {
                    listener = newListener;
                    configWatch.list();
                    serverWatch.list();
                });
    }

    /**
     * Watches the store, or leaves that to peers after one read; may be called from any thread, as
     * often as wanted.
     */
    public void follow(boolean wanted) {
        executor.execute(
                () -> {
                    following = wanted;
                    configWatch.follow();
                    serverWatch.follow();
                });
    }

    /** Takes what a peer knows, where it is later than what is known here. */
    public void adopt(Optional<EntryChange> operators, Optional<EntryChange> servers) {
        executor.execute(
                () -> {
                    if (state.adopt(operators, servers, System.nanoTime())) {
                        publish();
                        hold();
                    }
                });
    }

    private void publish() {
        toldSettled = serverWatch.isSettled();
        listener.accept(state.snapshot(toldSettled));
    }

    /** Sees to it that servers that are held now are dropped in time. */
    private void hold() {
        if (state.holds() || !serverWatch.isSettled()) {
            executor.schedule(this::expire, CatalogState.BACK_NANOS, TimeUnit.NANOSECONDS);
        }
    }

    private void expire() {
        boolean dropped = state.expire(System.nanoTime());
        if (dropped || toldSettled != serverWatch.isSettled()) {
            publish();
        }
    }

    /** One prefix of the store: read whole, then watched, then read whole again after a break. */
    private final class Followed implements Store.Watcher {
        private final String prefix;
        private boolean well = true;
        private long backSinceNanos;
        private int failures;
        private boolean listing;
        private Store.Watch watch;

        Followed(String prefix) {
            this.prefix = prefix;
            this.backSinceNanos = System.nanoTime() - CatalogState.BACK_NANOS;
        }

        private boolean isServers() {
            return this == serverWatch;
        }

        /** Begins or ends the watch as is wanted. */
        void follow() {
            if (!following && watch != null) {
                watch.close();
                watch = null;
            }
            if (following && watch == null && !listing) {
                list();
            }
        }

        void list() {
            listing = true;
            store.list(prefix, CALL_TIMEOUT_MILLIS).thenAcceptAsync(this::listed, executor);
        }

        private void listed(Store.Result result) {
            listing = false;
            if (!(result instanceof Store.Result.Entries entries)) {
                failed("list=" + result);
                return;
            }
            recovered();
            if (isServers()) {
                takeServers(entries);
            } else {
                takeOperators(entries.entries());
            }
            if (following && watch == null) {
                watch = store.watch(prefix, entries.storeRevision() + 1, this);
            }
        }

        private void takeServers(Store.Result.Entries listed) {
            state.list(
                    listed.entries(),
                    listed.storeRevision(),
                    isSettled(),
                    System.nanoTime(),
                    "store");
            publish();
            hold();
        }

        private void takeOperators(List<Store.Entry> entries) {
            boolean changed = false;
            for (Store.Entry entry : entries) {
                changed |= state.operator(entry, "store");
            }
            if (changed) {
                publish();
            }
        }

        private void recovered() {
            failures = 0;
            if (!well) {
                well = true;
                backSinceNanos = System.nanoTime();
                log.accept("event=store_back prefix=%s".formatted(prefix));
            }
        }

        private void failed(String detail) {
            if (well) {
                well = false;
                log.accept("event=store_lost prefix=%s reason=\"%s\"".formatted(prefix, detail));
            }
            if (!following && state.hasConfig()) {
                return;
            }
            long most = Math.min(MAX_RETRY_MILLIS, FIRST_RETRY_MILLIS << failures);
            failures = Math.min(failures + 1, 4);
            long waitMillis = most / 2 + random.nextLong(most / 2 + 1);
            listing = true;
            executor.schedule(this::list, waitMillis, TimeUnit.MILLISECONDS);
        }

        @Override
        public void onChange(String key, Optional<Payload> value, long revision) {
            executor.execute(() -> changed(key, value, revision));
        }

        private void changed(String key, Optional<Payload> value, long revision) {
            if (!isServers()) {
                value.ifPresent(it -> takeOperators(List.of(new Store.Entry(key, it, revision))));
                return;
            }
            if (value.isPresent()) {
                state.put(new Store.Entry(key, value.get(), revision), "store");
            } else {
                state.remove(key, revision, isSettled(), System.nanoTime(), "store");
            }
            publish();
            hold();
        }

        /** Returns whether the store has been well for long enough to lack no live entry. */
        boolean isSettled() {
            return well && System.nanoTime() - backSinceNanos >= CatalogState.BACK_NANOS;
        }

        @Override
        public void onBreak(String detail) {
            executor.execute(
                    () -> {
                        watch = null;
                        failed("watch=" + detail);
                    });
        }
    }
}
