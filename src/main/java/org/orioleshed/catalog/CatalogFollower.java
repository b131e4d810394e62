package org.orioleshed.catalog;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.orioleshed.model.Payload;
import org.orioleshed.model.ServiceId;
import org.orioleshed.store.Store;

/**
 * Keeps the configuration and the servers in force, from the store's watches and from what peers
 * know. Revisions only rise. All work is done on one executor's thread.
 */
public final class CatalogFollower {
    private static final long CALL_TIMEOUT_MILLIS = 1_500;
    private static final long FIRST_RETRY_MILLIS = 150;
    private static final long MAX_RETRY_MILLIS = 1_000;

    /** Live servers are back in the store this long after its return at the latest. */
    private static final long BACK_MILLIS = 2_000;

    private final Store store;
    private final CatalogDecoder decoder;
    private final ScheduledExecutorService executor;
    private final RandomGenerator random;
    private final Consumer<CatalogSnapshot> listener;
    private final Consumer<String> log;
    private final Map<String, Known> servers = new HashMap<>();
    private final Map<ServiceId, MoveOrder> orders = new HashMap<>();
    private final Followed configWatch;
    private final Followed serverWatch;
    private long configRevision;
    private Payload configValue = Payload.EMPTY;
    private Optional<Catalog> catalog = Optional.empty();
    private long serversRevision;
    private boolean following = true;

    /** A server's entry; {@code server} is empty where the entry names none to use. */
    private record Known(Store.Entry entry, Optional<PoolServer> server, boolean goneSoon) {
        Known soonGone() {
            return new Known(entry, server, true);
        }
    }

    /**
     * Makes one that does nothing yet.
     *
     * @param listener takes each new state, on the executor's thread
     * @param log takes a line for each change of belief
     */
    public CatalogFollower(
            Store store,
            CatalogDecoder decoder,
            ScheduledExecutorService executor,
            RandomGenerator random,
            Consumer<CatalogSnapshot> listener,
            Consumer<String> log) {
        this.store = store;
        this.decoder = decoder;
        this.executor = executor;
        this.random = random;
        this.listener = listener;
        this.log = log;
        this.configWatch = new Followed(decoder.operatorPrefix());
        this.serverWatch = new Followed(decoder.serversPrefix());
    }

    /** Starts to read and watch the store. */
    public void start() {
        executor.execute(configWatch::list);
        executor.execute(serverWatch::list);
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
    public void adopt(CatalogSnapshot peers) {
        executor.execute(() -> adoptNow(peers));
    }

    private void adoptNow(CatalogSnapshot peers) {
        boolean changed = false;
        if (peers.configRevision() > configRevision) {
            changed = takeConfig(peers.config(), peers.configRevision(), "peer");
        }
        if (peers.serversRevision() > serversRevision) {
            takeServers(peers.entries(), peers.serversRevision(), false, "peer");
            changed = true;
        }
        if (changed) {
            publish();
        }
    }

    private boolean takeConfig(Payload value, long revision, String source) {
        if (revision <= configRevision) {
            return false;
        }
        try {
            Catalog decoded = decoder.config(value.toBytes());
            configRevision = revision;
            configValue = value;
            catalog = Optional.of(decoded);
            log.accept(
                    "event=config_in_force revision=%d version=%d source=%s"
                            .formatted(revision, decoded.version(), source));
            return true;
        } catch (BadCatalogException e) {
            log.accept(
                    "event=config_unreadable revision=%d source=%s reason=\"%s\""
                            .formatted(revision, source, e.getMessage()));
            return false;
        }
    }

    private boolean takeOrder(String key, Payload value, long revision) {
        try {
            Optional<MoveOrder> order = decoder.order(key, value.toBytes(), revision);
            if (order.isEmpty()) {
                return false;
            }
            MoveOrder known = orders.get(order.get().service());
            if (known != null && known.revision() >= revision) {
                return false;
            }
            orders.put(order.get().service(), order.get());
            log.accept("event=move_ordered order=%s".formatted(order.get()));
            return true;
        } catch (BadCatalogException e) {
            log.accept(
                    "event=order_unreadable key=%s revision=%d reason=\"%s\""
                            .formatted(key, revision, e.getMessage()));
            return false;
        }
    }

    private void takeServers(
            List<Store.Entry> entries, long revision, boolean holdMissing, String source) {
        Map<String, Known> missing = new HashMap<>(servers);
        for (Store.Entry entry : entries) {
            missing.remove(entry.key());
            takeServer(entry, source);
        }
        serversRevision = Math.max(serversRevision, revision);
        missing.keySet().forEach(key -> lose(key, revision, holdMissing, source));
    }

    private void takeServer(Store.Entry entry, String source) {
        Known known = servers.get(entry.key());
        if (known != null && known.entry().revision() >= entry.revision()) {
            servers.put(entry.key(), new Known(known.entry(), known.server(), false));
            return;
        }
        Optional<PoolServer> server = decode(entry, source);
        servers.put(entry.key(), new Known(entry, server, false));
        server.ifPresent(
                it ->
                        log.accept(
                                "event=server_known server=%s service=%s address=%s draining=%s"
                                                .formatted(
                                                        it.id(),
                                                        it.service(),
                                                        it.address(),
                                                        it.draining())
                                        + " revision=%d source=%s"
                                                .formatted(entry.revision(), source)));
    }

    private Optional<PoolServer> decode(Store.Entry entry, String source) {
        try {
            return Optional.of(decoder.server(entry.key(), entry.value().toBytes()));
        } catch (BadCatalogException e) {
            log.accept(
                    "event=server_unreadable key=%s revision=%d source=%s reason=\"%s\""
                            .formatted(entry.key(), entry.revision(), source, e.getMessage()));
            return Optional.empty();
        }
    }

    private void lose(String key, long revision, boolean hold, String source) {
        Known known = servers.get(key);
        if (known == null || known.entry().revision() > revision) {
            return;
        }
        if (hold) {
            servers.put(key, known.soonGone());
            executor.schedule(() -> dropHeld(key), BACK_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        servers.remove(key);
        log.accept(
                "event=server_gone key=%s revision=%d source=%s".formatted(key, revision, source));
    }

    private void dropHeld(String key) {
        Known known = servers.get(key);
        if (known != null && known.goneSoon()) {
            servers.remove(key);
            log.accept("event=server_gone key=%s source=hold_over".formatted(key));
            publish();
        }
    }

    private void publish() {
        List<Store.Entry> entries = new ArrayList<>();
        List<PoolServer> usable = new ArrayList<>();
        for (Known known : servers.values()) {
            entries.add(known.entry());
            known.server().ifPresent(usable::add);
        }
        listener.accept(
                new CatalogSnapshot(
                        configRevision,
                        configValue,
                        catalog,
                        serversRevision,
                        entries,
                        usable,
                        List.copyOf(orders.values())));
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
            this.backSinceNanos = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(BACK_MILLIS);
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
            boolean wasUnwell = !well;
            recovered();
            if (isServers()) {
                takeServers(entries.entries(), entries.storeRevision(), wasUnwell, "store");
                publish();
            } else {
                takeOperators(entries.entries());
            }
            if (following && watch == null) {
                watch = store.watch(prefix, entries.storeRevision() + 1, this);
            }
        }

        private void takeOperators(List<Store.Entry> entries) {
            boolean changed = false;
            for (Store.Entry entry : entries) {
                changed |= takeOperators(entry.key(), entry.value(), entry.revision());
            }
            if (changed) {
                publish();
            }
        }

        private boolean takeOperators(String key, Payload value, long revision) {
            return key.equals(decoder.configKey())
                    ? takeConfig(value, revision, "store")
                    : takeOrder(key, value, revision);
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
            if (!following && configRevision > 0) {
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
                if (value.isPresent() && takeOperators(key, value.get(), revision)) {
                    publish();
                }
                return;
            }
            if (value.isPresent()) {
                takeServer(new Store.Entry(key, value.get(), revision), "store");
            } else {
                lose(key, revision, isFreshlyBack(), "store");
            }
            serversRevision = Math.max(serversRevision, revision);
            publish();
        }

        private boolean isFreshlyBack() {
            long sinceNanos = System.nanoTime() - backSinceNanos;
            return !well || sinceNanos < TimeUnit.MILLISECONDS.toNanos(BACK_MILLIS);
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
