package org.orioleshed.catalog;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.store.Store;
import org.orioleshed.store.StoreRevision;

/**
 * The operators' entries that evacuate failure domains. A domain is evacuated while its entry is
 * present. Removals are kept, so that they reach peers and no older copy restores an entry.
 */
final class EvacuationEntries {
    private static final double NANOS_PER_MILLI = 1e6;

    /** The number of removals kept; a peer that lacks older ones gets all entries instead. */
    private static final int MAX_REMOVALS = 256;

    private final Consumer<String> log;
    private final Map<String, Evacuation> present = new HashMap<>();
    private final LinkedHashMap<String, StoreRevision> removed = new LinkedHashMap<>();
    private StoreRevision removedSince = StoreRevision.NONE;
    private StoreRevision readRevision = StoreRevision.NONE;

    /**
     * An evacuation in force.
     *
     * @param learnedNanos when this host learned of it, by the monotonic clock
     */
    private record Evacuation(Store.Entry entry, FailureDomain domain, long learnedNanos) {}

    EvacuationEntries(Consumer<String> log) {
        this.log = log;
    }

    /**
     * Applies an entry unless it is outdated.
     *
     * @param source the origin of the entry, for the log
     * @return whether the entry was applied
     */
    boolean put(Store.Entry entry, FailureDomain domain, long nowNanos, String source) {
        Evacuation current = present.get(entry.key());
        boolean outdated =
                removed.containsKey(entry.key())
                        && !entry.revision().isAfter(removed.get(entry.key()));
        if (outdated
                || (current != null && !entry.revision().isAfter(current.entry().revision()))) {
            return false;
        }
        removed.remove(entry.key());
        long learnedNanos = current == null ? nowNanos : current.learnedNanos();
        present.put(entry.key(), new Evacuation(entry, domain, learnedNanos));
        if (current == null) {
            log.accept(
                    "event=evacuation_started domain=%s revision=%s source=%s age_ms=0"
                            .formatted(domain, entry.revision(), source));
        }
        return true;
    }

    /**
     * Applies a removal unless a later entry was applied.
     *
     * @return whether the removal was not known
     */
    boolean remove(String key, StoreRevision revision, long nowNanos, String source) {
        Evacuation current = present.get(key);
        if (current != null && current.entry().revision().isAfter(revision)) {
            return false;
        }
        boolean known =
                current == null && removed.containsKey(key) && !revision.isAfter(removed.get(key));
        if (known) {
            return false;
        }
        recordRemoval(key, revision);
        if (current != null) {
            present.remove(key);
            log.accept(
                    "event=evacuation_ended domain=%s revision=%s source=%s age_ms=%.0f"
                            .formatted(
                                    current.domain(),
                                    revision,
                                    source,
                                    (nowNanos - current.learnedNanos()) / NANOS_PER_MILLI));
        }
        return true;
    }

    private void recordRemoval(String key, StoreRevision revision) {
        removed.remove(key);
        removed.put(key, revision);
        while (removed.size() > MAX_REMOVALS) {
            removedSince = StoreRevision.max(removedSince, removed.pollFirstEntry().getValue());
        }
    }

    /**
     * Removes the entries that a complete list lacks.
     *
     * @param listed the keys in the list
     * @param revision the revision of the list
     * @return whether any entry was removed
     */
    boolean retain(Set<String> listed, StoreRevision revision, long nowNanos, String source) {
        boolean changed = false;
        for (String key : List.copyOf(present.keySet())) {
            changed |= !listed.contains(key) && remove(key, revision, nowNanos, source);
        }
        return changed;
    }

    /** Records that this host read all entries up to a revision from the store. */
    void read(StoreRevision revision) {
        readRevision = StoreRevision.max(readRevision, revision);
    }

    /** Returns the revision up to which this host read all entries from the store. */
    StoreRevision readRevision() {
        return readRevision;
    }

    /**
     * Returns whether an entry of a peer is one that was removed from the store while this host did
     * not watch it: the store was read later and lacked the entry.
     */
    boolean wasMissed(Store.Entry entry) {
        return !entry.revision().isAfter(readRevision) && !present.containsKey(entry.key());
    }

    boolean contains(String key) {
        return present.containsKey(key);
    }

    /** Returns the evacuated failure domains. */
    Set<FailureDomain> domains() {
        return present.values().stream()
                .map(Evacuation::domain)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns the present entries. */
    List<Store.Entry> entries() {
        return present.values().stream().map(Evacuation::entry).toList();
    }

    /** Returns the recent removals. */
    List<EntryChange.Removal> removals() {
        List<EntryChange.Removal> result = new ArrayList<>();
        removed.forEach((key, revision) -> result.add(new EntryChange.Removal(key, revision)));
        return result;
    }

    /** Returns the revision after which {@link #removals} has all removals. */
    StoreRevision removedSince() {
        return removedSince;
    }
}
