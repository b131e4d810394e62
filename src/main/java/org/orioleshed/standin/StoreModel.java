package org.orioleshed.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The state of the stand-in store without clock or sockets: keys with modification revisions,
 * leases that expire, and the history that watches read. Not thread-safe.
 */
final class StoreModel {
    private static final int MAX_HISTORY = 20_000;

    /** The current value of a key, in base64 as on the wire. */
    record Item(
            String key,
            String value,
            long createRevision,
            long modRevision,
            long version,
            long lease) {}

    /** A change of a key, with its new item, or empty if it was deleted. */
    record Change(long revision, String key, Optional<Item> item) {}

    private record Lease(long id, long ttlMillis, long expiresMillis) {}

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Deque<Change> history = new ArrayDeque<>();
    private long revision = 1;
    private long lastLease = 1;

    long revision() {
        return revision;
    }

    Optional<Item> get(String key) {
        return Optional.ofNullable(items.get(key));
    }

    /** Returns the items from {@code key} (inclusive) to {@code end} (exclusive). */
    List<Item> range(String key, String end) {
        return List.copyOf(items.subMap(key, end).values());
    }

    /** Starts a write: all puts and deletions until the next write share its revision. */
    void beginWrite() {
        revision++;
    }

    void put(String key, String value, long lease) {
        Item previous = items.get(key);
        long createRevision = previous == null ? revision : previous.createRevision();
        long version = previous == null ? 1 : previous.version() + 1;
        Item item = new Item(key, value, createRevision, revision, version, lease);
        items.put(key, item);
        appendHistory(new Change(revision, key, Optional.of(item)));
    }

    int delete(String key, String end) {
        List<Item> deleted = end.isEmpty() ? get(key).stream().toList() : range(key, end);
        for (Item item : deleted) {
            items.remove(item.key());
            appendHistory(new Change(revision, item.key(), Optional.empty()));
        }
        return deleted.size();
    }

    long grantLease(long ttlMillis, long nowMillis) {
        lastLease++;
        leases.put(lastLease, new Lease(lastLease, ttlMillis, nowMillis + ttlMillis));
        return lastLease;
    }

    /**
     * Renews a lease and returns its time to live in milliseconds, or zero if it does not exist.
     */
    long keepAlive(long id, long nowMillis) {
        expireLeases(nowMillis);
        Lease lease = leases.get(id);
        if (lease == null) {
            return 0;
        }
        leases.put(id, new Lease(id, lease.ttlMillis(), nowMillis + lease.ttlMillis()));
        return lease.ttlMillis();
    }

    boolean hasLease(long id) {
        return leases.containsKey(id);
    }

    void revokeLease(long id) {
        if (leases.remove(id) == null) {
            return;
        }
        List<Item> attached = items.values().stream().filter(item -> item.lease() == id).toList();
        if (!attached.isEmpty()) {
            beginWrite();
            attached.forEach(item -> delete(item.key(), ""));
        }
    }

    /** Revokes the expired leases. */
    void expireLeases(long nowMillis) {
        List<Lease> expired =
                leases.values().stream().filter(l -> l.expiresMillis() <= nowMillis).toList();
        expired.forEach(lease -> revokeLease(lease.id()));
    }

    /** Returns the oldest revision from which a watch can start. */
    long oldestWatchable() {
        return history.size() < MAX_HISTORY ? 1 : history.getFirst().revision() + 1;
    }

    /**
     * Returns the changes since {@code fromRevision} (inclusive) of keys from {@code key}
     * (inclusive) to {@code end} (exclusive).
     */
    List<Change> changes(String key, String end, long fromRevision) {
        Deque<Change> found = new ArrayDeque<>();
        Iterator<Change> newestFirst = history.descendingIterator();
        while (newestFirst.hasNext()) {
            Change change = newestFirst.next();
            if (change.revision() < fromRevision) {
                break;
            }
            if (change.key().compareTo(key) >= 0 && change.key().compareTo(end) < 0) {
                found.addFirst(change);
            }
        }
        return List.copyOf(found);
    }

    private void appendHistory(Change change) {
        history.addLast(change);
        if (history.size() > MAX_HISTORY) {
            history.removeFirst();
        }
    }
}
