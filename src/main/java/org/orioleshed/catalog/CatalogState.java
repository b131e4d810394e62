package org.orioleshed.catalog;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.orioleshed.model.ServiceId;
import org.orioleshed.store.Store;

/**
 * What a host believes of the configuration and the servers, from what the store and peers say.
 * Revisions only rise, whatever order news comes in.
 */
public final class CatalogState {
    /** Live servers are back in the store this long after its return at the latest. */
    public static final long BACK_NANOS = 2_000_000_000L;

    /** A host that is further behind than so many removals gets the whole list. */
    private static final int MAX_REMOVED = 256;

    private final CatalogDecoder decoder;
    private final Consumer<String> log;
    private final Map<String, Store.Entry> operators = new HashMap<>();
    private final Map<ServiceId, RolloutOrder> orders = new HashMap<>();
    private final Map<String, Known> servers = new HashMap<>();
    private final LinkedHashMap<String, Long> removed = new LinkedHashMap<>();
    private Optional<Catalog> catalog = Optional.empty();
    private long configRevision;
    private long operatorsRevision;
    private long serversRevision;
    private long serversChanged;
    private long removedSince;

    /**
     * A server's entry.
     *
     * @param server empty where the entry names none to use
     * @param goneNanos when it is dropped, by the monotonic clock; 0 while its entry is there
     */
    private record Known(Store.Entry entry, Optional<PoolServer> server, long goneNanos) {
        boolean isPresent() {
            return goneNanos == 0;
        }

        Known until(long nanos) {
            return new Known(entry, server, nanos);
        }
    }

    /**
     * Makes one that knows nothing.
     *
     * @param log takes a line for each change of belief
     */
    public CatalogState(CatalogDecoder decoder, Consumer<String> log) {
        this.decoder = decoder;
        this.log = log;
    }

    /**
     * Takes an entry that an operator wrote.
     *
     * @return whether that changed what is in force, or what is to be told
     */
    public boolean operator(Store.Entry entry, String source) {
        Store.Entry known = operators.get(entry.key());
        if (known != null && known.revision() >= entry.revision()) {
            return false;
        }
        boolean concerns =
                entry.key().equals(decoder.configKey())
                        ? config(entry, source)
                        : order(entry, source);
        if (concerns) {
            operators.put(entry.key(), entry);
            operatorsRevision = Math.max(operatorsRevision, entry.revision());
        }
        return concerns;
    }

    private boolean config(Store.Entry entry, String source) {
        try {
            Catalog decoded = decoder.config(entry.value().toBytes());
            configRevision = entry.revision();
            catalog = Optional.of(decoded);
            log.accept(
                    "event=config_in_force revision=%d version=%d source=%s"
                            .formatted(entry.revision(), decoded.version(), source));
        } catch (BadCatalogException e) {
            log.accept(
                    "event=config_unreadable revision=%d source=%s reason=\"%s\""
                            .formatted(entry.revision(), source, e.getMessage()));
        }
        return true;
    }

    private boolean order(Store.Entry entry, String source) {
        try {
            Optional<RolloutOrder> order =
                    decoder.order(entry.key(), entry.value().toBytes(), entry.revision());
            order.ifPresent(
                    it -> {
                        orders.put(it.service(), it);
                        log.accept("event=move_ordered order=%s source=%s".formatted(it, source));
                    });
            return order.isPresent();
        } catch (BadCatalogException e) {
            log.accept(
                    "event=order_unreadable key=%s revision=%d source=%s reason=\"%s\""
                            .formatted(entry.key(), entry.revision(), source, e.getMessage()));
            return true;
        }
    }

    /** Takes a server's entry that came or changed, unless later news is known. */
    public void put(Store.Entry entry, String source) {
        if (entry.revision() < serversRevision) {
            return;
        }
        putServer(entry, entry.revision(), source);
        serversRevision = entry.revision();
        serversChanged = entry.revision();
    }

    private void putServer(Store.Entry entry, long asOfRevision, String source) {
        if (removed.getOrDefault(entry.key(), 0L) > Math.max(entry.revision(), asOfRevision)) {
            return;
        }
        removed.remove(entry.key());
        Known known = servers.get(entry.key());
        if (known != null && known.entry().revision() >= entry.revision()) {
            servers.put(entry.key(), known.until(0));
            return;
        }
        Optional<PoolServer> server = decode(entry, source);
        servers.put(entry.key(), new Known(entry, server, 0));
        server.ifPresent(
                it ->
                        log.accept(
                                "event=server_known server=%s service=%s version=%s address=%s"
                                                .formatted(
                                                        it.id(),
                                                        it.service(),
                                                        it.version(),
                                                        it.address())
                                        + " draining=%s revision=%d source=%s"
                                                .formatted(
                                                        it.draining(), entry.revision(), source)));
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

    /**
     * Takes the removal of a server's entry, unless later news is known.
     *
     * @param settled false shortly after an outage of the store; then the server is held a moment
     */
    public void remove(String key, long revision, boolean settled, long nowNanos, String source) {
        if (revision < serversRevision) {
            return;
        }
        removeServer(key, revision, settled, nowNanos, source);
        serversRevision = revision;
        serversChanged = revision;
    }

    private void removeServer(
            String key, long revision, boolean settled, long nowNanos, String source) {
        Known known = servers.get(key);
        if (known != null && known.entry().revision() > revision) {
            return;
        }
        noteRemoved(key, revision);
        if (known == null || !known.isPresent()) {
            return;
        }
        if (!settled) {
            servers.put(key, known.until(nowNanos + BACK_NANOS));
            return;
        }
        servers.remove(key);
        log.accept(
                "event=server_gone key=%s revision=%d source=%s".formatted(key, revision, source));
    }

    private void noteRemoved(String key, long revision) {
        long before = removed.getOrDefault(key, 0L);
        removed.remove(key);
        removed.put(key, Math.max(before, revision));
        while (removed.size() > MAX_REMOVED) {
            Map.Entry<String, Long> oldest = removed.pollFirstEntry();
            removedSince = Math.max(removedSince, oldest.getValue());
        }
    }

    /** Takes all servers' entries as they were at a revision, unless later news is known. */
    public void list(
            List<Store.Entry> entries,
            long revision,
            boolean settled,
            long nowNanos,
            String source) {
        if (revision < serversRevision) {
            return;
        }
        Set<String> missing = new HashSet<>(servers.keySet());
        for (Store.Entry entry : entries) {
            missing.remove(entry.key());
            putServer(entry, revision, source);
            serversChanged = Math.max(serversChanged, entry.revision());
        }
        if (!missing.isEmpty()) {
            missing.forEach(key -> removeServer(key, revision, settled, nowNanos, source));
            serversChanged = revision;
        }
        serversRevision = revision;
        // What came and went since the last list was not seen here.
        removedSince = Math.max(removedSince, revision);
    }

    /**
     * Takes what a peer knows, where it is later than what is known here.
     *
     * @return whether anything changed
     */
    public boolean adopt(
            Optional<EntryChange> operatorChange,
            Optional<EntryChange> serverChange,
            long nowNanos) {
        boolean changed = serverChange.map(change -> adoptServers(change, nowNanos)).orElse(false);
        if (operatorChange.isPresent()) {
            for (Store.Entry entry : operatorChange.get().entries()) {
                changed |= operator(entry, "peer");
            }
        }
        return changed;
    }

    private boolean adoptServers(EntryChange change, long nowNanos) {
        if (change.changed() <= serversRevision || change.since() > serversRevision) {
            return false;
        }
        if (change.isWhole()) {
            list(change.entries(), change.revision(), change.settled(), nowNanos, "peer");
            serversChanged = Math.max(serversChanged, change.changed());
            return true;
        }
        change.entries().forEach(entry -> putServer(entry, change.revision(), "peer"));
        change.removed()
                .forEach(
                        gone ->
                                removeServer(
                                        gone.key(),
                                        gone.revision(),
                                        change.settled(),
                                        nowNanos,
                                        "peer"));
        serversRevision = change.revision();
        serversChanged = change.changed();
        return true;
    }

    /**
     * Drops the servers that were held and did not come back.
     *
     * @return whether there was one
     */
    public boolean expire(long nowNanos) {
        List<String> over = new ArrayList<>();
        servers.forEach(
                (key, known) -> {
                    if (!known.isPresent() && nowNanos - known.goneNanos() >= 0) {
                        over.add(key);
                    }
                });
        for (String key : over) {
            servers.remove(key);
            log.accept("event=server_gone key=%s source=hold_over".formatted(key));
        }
        return !over.isEmpty();
    }

    /** Returns whether a server is held whose entry is gone. */
    public boolean holds() {
        return servers.values().stream().anyMatch(known -> !known.isPresent());
    }

    /** Returns whether a configuration is in force. */
    public boolean hasConfig() {
        return catalog.isPresent();
    }

    /**
     * Returns what is in force.
     *
     * @param settled false shortly after an outage of the store
     */
    public CatalogSnapshot snapshot(boolean settled) {
        List<Store.Entry> present = new ArrayList<>();
        List<PoolServer> usable = new ArrayList<>();
        for (Known known : servers.values()) {
            known.server().ifPresent(usable::add);
            if (known.isPresent()) {
                present.add(known.entry());
            }
        }
        return new CatalogSnapshot(
                configRevision,
                catalog,
                new EntryView(
                        operatorsRevision,
                        operatorsRevision,
                        true,
                        List.copyOf(operators.values()),
                        0,
                        List.of()),
                new EntryView(
                        serversRevision,
                        serversChanged,
                        settled,
                        present,
                        removedSince,
                        removals()),
                usable,
                List.copyOf(orders.values()));
    }

    private List<EntryChange.Removal> removals() {
        return removed.entrySet().stream()
                .map(entry -> new EntryChange.Removal(entry.getKey(), entry.getValue()))
                .toList();
    }
}
