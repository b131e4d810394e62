package org.orioleshed.catalog;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.ServiceId;
import org.orioleshed.store.Store;
import org.orioleshed.store.StoreRevision;

/**
 * The configuration, rollout orders and servers that one host has received from the store and from
 * peers. Revisions never decrease, regardless of the order in which updates arrive.
 */
public final class CatalogState {
    /**
     * The time after an outage of the store, in nanoseconds, within which live servers register
     * again.
     */
    public static final long RECOVERY_NANOS = 2_000_000_000L;

    /**
     * The time after a restore of the store, in nanoseconds, within which operators write again
     * what it lost.
     */
    private static final long REWRITE_NANOS = 10_000_000_000L;

    private final CatalogDecoder decoder;
    private final Consumer<String> log;
    private final Map<String, Store.Entry> operators = new HashMap<>();
    private final EvacuationEntries evacuations;
    private final Map<ServiceId, RolloutOrder> orders = new HashMap<>();
    private final ServerEntries servers;
    private Optional<Catalog> catalog = Optional.empty();
    private StoreRevision configRevision = StoreRevision.NONE;
    private StoreRevision operatorsRevision = StoreRevision.NONE;
    private OptionalLong restoredNanos = OptionalLong.empty();

    /**
     * Creates an empty state.
     *
     * @param log receives a line for each change
     */
    public CatalogState(CatalogDecoder decoder, Consumer<String> log) {
        this.decoder = decoder;
        this.log = log;
        this.evacuations = new EvacuationEntries(log);
        this.servers = new ServerEntries(decoder, log);
    }

    /**
     * Applies an operator's entry, unless it is outdated or of another kind than those decoded
     * here.
     *
     * @param nowNanos the current time on the monotonic clock
     * @param source the origin of the entry, for the log
     * @return whether the entry was applied and must be published
     */
    public boolean operator(Store.Entry entry, long nowNanos, String source) {
        return apply(entry, nowNanos, source, false);
    }

    /** Applies an entry; {@code listed} if it may come from the copy of a restored store. */
    private boolean apply(Store.Entry entry, long nowNanos, String source, boolean listed) {
        if (isRestored(entry.revision())) {
            restoredNanos = OptionalLong.of(nowNanos);
        }
        Optional<FailureDomain> domain = decoder.evacuated(entry.key());
        if (domain.isPresent()) {
            boolean applied = evacuations.put(entry, domain.get(), nowNanos, source);
            operatorsRevision =
                    applied
                            ? StoreRevision.max(operatorsRevision, entry.revision())
                            : operatorsRevision;
            return applied;
        }
        Store.Entry current = operators.get(entry.key());
        if (current != null && !entry.revision().isAfter(current.revision())) {
            return false;
        }
        boolean isConfig = entry.key().equals(decoder.configKey());
        Optional<Store.Entry> inForce =
                isConfig ? config(entry, source) : order(entry, nowNanos, source, listed);
        inForce.ifPresent(
                it -> {
                    operators.put(it.key(), it);
                    operatorsRevision = StoreRevision.max(operatorsRevision, it.revision());
                });
        return inForce.isPresent();
    }

    /** Returns whether the store was restored between the operators' entries and a revision. */
    private boolean isRestored(StoreRevision revision) {
        return !operatorsRevision.isNone() && revision.isOfLaterEraThan(operatorsRevision);
    }

    /** Returns the entry in force under the revision of the copy's older one. */
    private Store.Entry keep(Store.Entry older) {
        Store.Entry inForce = operators.getOrDefault(older.key(), older);
        return new Store.Entry(older.key(), inForce.value(), older.revision());
    }

    /**
     * Applies all operators' entries as read from the store at a revision. A configuration or an
     * order that is missing stays in force; an evacuation that is missing has ended, unless the
     * store was just restored: then it may be written again until the next list. Later pages of the
     * list may hold entries later than its revision. The watch reports these again; until then this
     * host does not claim to have all changes up to them, since a removal in between is not known
     * yet.
     *
     * @return whether anything must be published
     */
    public boolean listOperators(List<Store.Entry> entries, StoreRevision revision, long nowNanos) {
        StoreRevision previousRevision = operatorsRevision;
        boolean restored = isRestored(revision);
        boolean changed = restored;
        Set<String> listed = new HashSet<>();
        for (Store.Entry entry : entries) {
            listed.add(entry.key());
            changed |= apply(entry, nowNanos, "store", true);
        }
        operatorsRevision =
                StoreRevision.max(previousRevision, StoreRevision.min(operatorsRevision, revision));
        if (restored) {
            operatorsRevision = StoreRevision.max(operatorsRevision, revision);
        } else {
            changed |= retainOperators(listed, revision, nowNanos, "store");
        }
        evacuations.read(revision);
        return changed;
    }

    private boolean retainOperators(
            Set<String> listed, StoreRevision revision, long nowNanos, String source) {
        boolean changed = evacuations.retain(listed, revision, nowNanos, source);
        operatorsRevision =
                changed ? StoreRevision.max(operatorsRevision, revision) : operatorsRevision;
        return changed;
    }

    /**
     * Applies an operator's entry that a watch of the store reported.
     *
     * @return whether anything must be published
     */
    public boolean operatorWatched(Store.Entry entry, long nowNanos) {
        StoreRevision previousRevision = operatorsRevision;
        boolean changed = operator(entry, nowNanos, "store");
        if (isInForce(entry)) {
            operatorsRevision = StoreRevision.max(operatorsRevision, entry.revision());
        }
        readBefore(entry.revision());
        return changed || operatorsRevision.isAfter(previousRevision);
    }

    /**
     * Applies the removal of an operator's entry. A removed configuration or order stays in force;
     * a removed evacuation ends.
     *
     * @return whether anything must be published
     */
    public boolean removeOperator(String key, StoreRevision revision, long nowNanos) {
        boolean changed = removeOperator(key, revision, nowNanos, "store");
        readBefore(revision);
        return changed;
    }

    private boolean isInForce(Store.Entry entry) {
        return operators.containsKey(entry.key()) || evacuations.contains(entry.key());
    }

    /** Another key of the same revision may not have been reported yet. */
    private void readBefore(StoreRevision revision) {
        evacuations.read(revision.previous());
    }

    private boolean removeOperator(
            String key, StoreRevision revision, long nowNanos, String source) {
        boolean changed =
                decoder.evacuated(key).isPresent()
                        && evacuations.remove(key, revision, nowNanos, source);
        operatorsRevision =
                changed ? StoreRevision.max(operatorsRevision, revision) : operatorsRevision;
        return changed;
    }

    private Optional<Store.Entry> config(Store.Entry entry, String source) {
        try {
            Catalog decoded = decoder.config(entry.value().toBytes());
            if (isOfCopy(decoded, entry.revision())) {
                log.accept(
                        "event=config_of_copy revision=%s version=%d in_force=%d source=%s"
                                .formatted(
                                        entry.revision(),
                                        decoded.version(),
                                        catalog.get().version(),
                                        source));
                return Optional.of(keep(entry));
            }
            configRevision = entry.revision();
            catalog = Optional.of(decoded);
            log.accept(
                    "event=config_in_force revision=%s version=%d source=%s idle_timeout_ms=%d %s"
                            .formatted(
                                    entry.revision(),
                                    decoded.version(),
                                    source,
                                    decoded.limits().idleTimeoutMillis(),
                                    decoded.describeAccess()));
        } catch (BadCatalogException | RuntimeException e) {
            log.accept(
                    "event=config_unreadable revision=%s source=%s reason=\"%s\""
                            .formatted(entry.revision(), source, e.getMessage()));
        }
        return Optional.of(entry);
    }

    /** Returns whether a configuration is older than the one in force, which the store lost. */
    private boolean isOfCopy(Catalog decoded, StoreRevision revision) {
        return revision.isOfLaterEraThan(configRevision)
                && catalog.map(it -> decoded.version() < it.version()).orElse(false);
    }

    private Optional<Store.Entry> order(
            Store.Entry entry, long nowNanos, String source, boolean listed) {
        try {
            Optional<RolloutOrder> decoded =
                    decoder.order(entry.key(), entry.value().toBytes(), entry.revision());
            if (decoded.isEmpty()) {
                return Optional.empty();
            }
            RolloutOrder order = decoded.get();
            Optional<RolloutOrder> known = knownBeforeRestore(order, nowNanos);
            if (known.isPresent() && order.isSameOrder(known.get())) {
                return Optional.of(entry);
            }
            if (known.isPresent()
                    && listed
                    && order.revision().number() < known.get().revision().number()) {
                return Optional.of(keep(entry));
            }
            orders.put(order.service(), order);
            log.accept("event=move_ordered order=%s source=%s".formatted(order, source));
            return Optional.of(entry);
        } catch (BadCatalogException | RuntimeException e) {
            log.accept(
                    "event=order_unreadable key=%s revision=%s source=%s reason=\"%s\""
                            .formatted(entry.key(), entry.revision(), source, e.getMessage()));
            return Optional.of(entry);
        }
    }

    /**
     * Returns the order that a pool had before the store was restored, while operators may still
     * write it again. It must not begin anew.
     */
    private Optional<RolloutOrder> knownBeforeRestore(RolloutOrder order, long nowNanos) {
        boolean recent =
                restoredNanos.isPresent() && nowNanos - restoredNanos.getAsLong() < REWRITE_NANOS;
        return Optional.ofNullable(orders.get(order.service()))
                .filter(it -> recent && order.revision().isOfLaterEraThan(it.revision()));
    }

    /** Applies a new or changed server entry, unless a later revision was applied. */
    public void put(Store.Entry entry, String source) {
        servers.put(entry, source);
    }

    /**
     * Applies the removal of a server's entry, unless a later revision was applied.
     *
     * @param settled false shortly after an outage of the store; the server is then kept until
     *     {@link #RECOVERY_NANOS} after the outage
     * @param outageEndNanos the end of the outage, by the monotonic clock; without meaning if
     *     settled
     */
    public void remove(
            String key,
            StoreRevision revision,
            boolean settled,
            long outageEndNanos,
            String source) {
        servers.remove(key, revision, settled, outageEndNanos, source);
    }

    /**
     * Replaces all servers' entries by those at a revision, unless a later revision was applied.
     */
    public void list(
            List<Store.Entry> entries,
            StoreRevision revision,
            boolean settled,
            long outageEndNanos,
            String source) {
        servers.list(entries, revision, settled, outageEndNanos, source);
    }

    /**
     * Drops the servers whose entries were removed and did not return in time.
     *
     * @return whether any server was dropped
     */
    public boolean expire(long nowNanos) {
        return servers.expire(nowNanos);
    }

    /** Returns whether a server is kept although its entry was removed. */
    public boolean hasPendingRemovals() {
        return servers.hasPendingRemovals();
    }

    /**
     * Applies a peer's entries that are later than those of this host.
     *
     * @return whether anything changed
     */
    public boolean adopt(
            Optional<EntryChange> operatorChange,
            Optional<EntryChange> serverChange,
            long nowNanos) {
        boolean changed = serverChange.map(change -> servers.adopt(change, nowNanos)).orElse(false);
        changed |= operatorChange.map(change -> adoptOperators(change, nowNanos)).orElse(false);
        return changed;
    }

    private boolean adoptOperators(EntryChange change, long nowNanos) {
        if (!change.changed().isAfter(operatorsRevision)
                || change.since().isAfter(operatorsRevision)) {
            return false;
        }
        Set<String> listed = new HashSet<>();
        for (Store.Entry entry : change.entries()) {
            listed.add(entry.key());
            if (decoder.evacuated(entry.key()).isPresent() && evacuations.wasMissed(entry)) {
                removeOperator(entry.key(), evacuations.readRevision(), nowNanos, "store");
            } else {
                apply(entry, nowNanos, "peer", change.isComplete());
            }
        }
        if (change.isComplete()) {
            retainOperators(listed, change.revision(), nowNanos, "peer");
        }
        change.removed().forEach(it -> removeOperator(it.key(), it.revision(), nowNanos, "peer"));
        operatorsRevision = StoreRevision.max(operatorsRevision, change.revision());
        return true;
    }

    /** Returns whether a configuration is in force. */
    public boolean hasConfig() {
        return catalog.isPresent();
    }

    /**
     * Returns a snapshot of the state.
     *
     * @param settled false shortly after an outage of the store
     */
    public CatalogSnapshot snapshot(boolean settled) {
        return new CatalogSnapshot(
                configRevision,
                catalog,
                new EntryView(
                        operatorsRevision,
                        operatorsRevision,
                        true,
                        operatorEntries(),
                        evacuations.removedSince(),
                        evacuations.removals()),
                servers.view(settled),
                servers.usable(),
                List.copyOf(orders.values()),
                evacuations.domains());
    }

    private List<Store.Entry> operatorEntries() {
        List<Store.Entry> result = new ArrayList<>(operators.values());
        result.addAll(evacuations.entries());
        return result;
    }
}
