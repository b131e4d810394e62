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
import org.orioleshed.store.Store;
import org.orioleshed.store.StoreRevision;

/**
 * The servers' entries that one host has received from the store and from peers. A server whose
 * entry is removed shortly after an outage of the store is kept for a while, since live servers
 * register again.
 */
final class ServerEntries {
    /** The number of removals kept; a peer that lacks older ones gets all entries instead. */
    private static final int MAX_REMOVALS = 256;

    private final CatalogDecoder decoder;
    private final Consumer<String> log;
    private final Map<String, ServerRecord> servers = new HashMap<>();
    private final LinkedHashMap<String, Departure> removed = new LinkedHashMap<>();
    private StoreRevision readRevision = StoreRevision.NONE;
    private StoreRevision lastChange = StoreRevision.NONE;
    private StoreRevision removedSince = StoreRevision.NONE;

    /**
     * A server's entry.
     *
     * @param server the decoded server; empty if the entry is malformed
     * @param expiryNanos when a server whose entry was removed is dropped, by the monotonic clock;
     *     0 while the entry is present
     */
    private record ServerRecord(Store.Entry entry, Optional<PoolServer> server, long expiryNanos) {
        boolean isPresent() {
            return expiryNanos == 0;
        }

        ServerRecord withExpiry(long nanos) {
            return new ServerRecord(entry, server, nanos);
        }
    }

    /**
     * The removal of a server's entry.
     *
     * @param server the server as last known; empty if this host never had a readable entry
     */
    private record Departure(StoreRevision revision, Optional<PoolServer> server) {
        static final Departure NONE = new Departure(StoreRevision.NONE, Optional.empty());

        /** Returns whether an entry is of the same start of the server that was removed. */
        boolean isOfSameStart(PoolServer other) {
            return server.map(it -> it.startMillis() == other.startMillis()).orElse(false);
        }
    }

    /** Creates an empty state; the log receives a line for each change. */
    ServerEntries(CatalogDecoder decoder, Consumer<String> log) {
        this.decoder = decoder;
        this.log = log;
    }

    /** Applies a new or changed server entry, unless a later revision was applied. */
    void put(Store.Entry entry, String source) {
        if (readRevision.isAfter(entry.revision())) {
            return;
        }
        putServer(entry, entry.revision(), source);
        readRevision = entry.revision();
        lastChange = entry.revision();
    }

    private void putServer(Store.Entry entry, StoreRevision asOfRevision, String source) {
        StoreRevision removal = removed.getOrDefault(entry.key(), Departure.NONE).revision();
        if (removal.isAfter(StoreRevision.max(entry.revision(), asOfRevision))) {
            return;
        }
        removed.remove(entry.key());
        ServerRecord current = servers.get(entry.key());
        if (current != null && !entry.revision().isAfter(current.entry().revision())) {
            servers.put(entry.key(), current.withExpiry(0));
            return;
        }
        Optional<PoolServer> server = decode(entry, source);
        servers.put(entry.key(), new ServerRecord(entry, server, 0));
        server.ifPresent(
                it ->
                        log.accept(
                                "event=server_known server=%s service=%s version=%s address=%s"
                                                .formatted(
                                                        it.id(),
                                                        it.service(),
                                                        it.version(),
                                                        it.address())
                                        + " draining=%s revision=%s source=%s"
                                                .formatted(
                                                        it.draining(), entry.revision(), source)));
    }

    private Optional<PoolServer> decode(Store.Entry entry, String source) {
        try {
            PoolServer server = decoder.server(entry.key(), entry.value().toBytes());
            return Optional.of(server.withWarmup(server.warmup().at(entry.revision())));
        } catch (BadCatalogException | RuntimeException e) {
            // Another writer's entry must not stop the others, whatever it contains.
            log.accept(
                    "event=server_unreadable key=%s revision=%s source=%s reason=\"%s\""
                            .formatted(entry.key(), entry.revision(), source, e.getMessage()));
            return Optional.empty();
        }
    }

    /**
     * Applies the removal of a server's entry, unless a later revision was applied.
     *
     * @param settled false shortly after an outage of the store; the server is then kept until
     *     {@link CatalogState#RECOVERY_NANOS} after the outage
     * @param outageEndNanos the end of the outage, by the monotonic clock; without meaning if
     *     settled
     */
    void remove(
            String key,
            StoreRevision revision,
            boolean settled,
            long outageEndNanos,
            String source) {
        if (readRevision.isAfter(revision)) {
            return;
        }
        removeServer(key, revision, settled, outageEndNanos, source);
        readRevision = revision;
        lastChange = revision;
    }

    private void removeServer(
            String key,
            StoreRevision revision,
            boolean settled,
            long outageEndNanos,
            String source) {
        ServerRecord current = servers.get(key);
        if (current != null && current.entry().revision().isAfter(revision)) {
            return;
        }
        recordRemoval(key, revision);
        if (current == null || !current.isPresent()) {
            return;
        }
        if (!settled) {
            servers.put(key, current.withExpiry(outageEndNanos + CatalogState.RECOVERY_NANOS));
            return;
        }
        servers.remove(key);
        log.accept(
                "event=server_gone key=%s revision=%s source=%s".formatted(key, revision, source));
    }

    private void recordRemoval(String key, StoreRevision revision) {
        Departure previous = removed.getOrDefault(key, Departure.NONE);
        ServerRecord current = servers.get(key);
        removed.remove(key);
        removed.put(
                key,
                new Departure(
                        StoreRevision.max(previous.revision(), revision),
                        current == null ? previous.server() : current.server()));
        while (removed.size() > MAX_REMOVALS) {
            Departure oldest = removed.pollFirstEntry().getValue();
            removedSince = StoreRevision.max(removedSince, oldest.revision());
        }
    }

    /**
     * Replaces all servers' entries by those at a revision, unless a later revision was applied.
     */
    void list(
            List<Store.Entry> entries,
            StoreRevision revision,
            boolean settled,
            long outageEndNanos,
            String source) {
        if (readRevision.isAfter(revision)) {
            return;
        }
        Set<String> missing = new HashSet<>(servers.keySet());
        for (Store.Entry entry : entries) {
            missing.remove(entry.key());
            afterRestore(entry).ifPresent(it -> putServer(it, revision, source));
            lastChange = StoreRevision.max(lastChange, entry.revision());
        }
        if (!missing.isEmpty()) {
            missing.forEach(key -> removeServer(key, revision, settled, outageEndNanos, source));
            lastChange = revision;
        }
        readRevision = revision;
        // Entries that were added and removed since the last list are missing from the removals.
        removedSince = StoreRevision.max(removedSince, revision);
    }

    /**
     * Returns the entry to apply for a listed one, which may come from the copy from which the
     * store was restored: this host may know a later value, or that the server left since; empty if
     * the server left. A server that drains, or a later start of it, counts in any case, since it
     * may have been written again under a lower revision than before.
     */
    private Optional<Store.Entry> afterRestore(Store.Entry listed) {
        ServerRecord current = servers.get(listed.key());
        StoreRevision known =
                current != null
                        ? current.entry().revision()
                        : removed.getOrDefault(listed.key(), Departure.NONE).revision();
        boolean isCopy =
                listed.revision().isOfLaterEraThan(known)
                        && listed.revision().number() <= known.number();
        Optional<PoolServer> server = isCopy ? tryDecode(listed) : Optional.empty();
        if (!isCopy || (server.isEmpty() && current == null)) {
            return Optional.of(listed);
        }
        if (current == null) {
            boolean left = removed.get(listed.key()).isOfSameStart(server.get());
            return left ? Optional.empty() : Optional.of(listed);
        }
        boolean counts =
                server.map(it -> it.draining() || isLaterStart(it, current.server())).orElse(false);
        return Optional.of(
                counts
                        ? listed
                        : new Store.Entry(
                                listed.key(), current.entry().value(), listed.revision()));
    }

    private static boolean isLaterStart(PoolServer server, Optional<PoolServer> known) {
        return known.map(it -> server.startMillis() > it.startMillis()).orElse(true);
    }

    private Optional<PoolServer> tryDecode(Store.Entry entry) {
        try {
            return Optional.of(decoder.server(entry.key(), entry.value().toBytes()));
        } catch (BadCatalogException | RuntimeException e) {
            return Optional.empty();
        }
    }

    /**
     * Applies a peer's entries that are later than those of this host.
     *
     * @return whether anything changed
     */
    boolean adopt(EntryChange change, long nowNanos) {
        if (!change.changed().isAfter(readRevision) || change.since().isAfter(readRevision)) {
            return false;
        }
        if (change.isComplete()) {
            list(change.entries(), change.revision(), change.settled(), nowNanos, "peer");
            lastChange = StoreRevision.max(lastChange, change.changed());
            return true;
        }
        change.entries().forEach(entry -> putServer(entry, change.revision(), "peer"));
        change.removed()
                .forEach(
                        removal ->
                                removeServer(
                                        removal.key(),
                                        removal.revision(),
                                        change.settled(),
                                        nowNanos,
                                        "peer"));
        readRevision = change.revision();
        lastChange = change.changed();
        return true;
    }

    /**
     * Drops the servers whose entries were removed and did not return in time.
     *
     * @return whether any server was dropped
     */
    boolean expire(long nowNanos) {
        List<String> expired = new ArrayList<>();
        servers.forEach(
                (key, serverRecord) -> {
                    if (!serverRecord.isPresent() && nowNanos - serverRecord.expiryNanos() >= 0) {
                        expired.add(key);
                    }
                });
        for (String key : expired) {
            servers.remove(key);
            log.accept("event=server_gone key=%s source=hold_over".formatted(key));
        }
        return !expired.isEmpty();
    }

    /** Returns whether a server is kept although its entry was removed. */
    boolean hasPendingRemovals() {
        return servers.values().stream().anyMatch(serverRecord -> !serverRecord.isPresent());
    }

    /** Returns the usable servers, including those kept although their entry was removed. */
    List<PoolServer> usable() {
        return servers.values().stream().flatMap(it -> it.server().stream()).toList();
    }

    /**
     * Returns the entries as this host has them.
     *
     * @param settled false shortly after an outage of the store
     */
    EntryView view(boolean settled) {
        List<Store.Entry> present =
                servers.values().stream()
                        .filter(ServerRecord::isPresent)
                        .map(ServerRecord::entry)
                        .toList();
        return new EntryView(readRevision, lastChange, settled, present, removedSince, removals());
    }

    private List<EntryChange.Removal> removals() {
        return removed.entrySet().stream()
                .map(it -> new EntryChange.Removal(it.getKey(), it.getValue().revision()))
                .toList();
    }
}
