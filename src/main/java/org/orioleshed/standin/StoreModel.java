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
 * The state of the stand-in store: keys with modification revisions, leases that expire, and the
 * history that watches read. Without clock or sockets; not safe for use by several threads at once.
 */
final class StoreModel {
    private static final int MAX_HISTORY = 20_000;

    /** A key's present value, the value in base64 as on the wire. */
    record Item(
            String key,
            String value,
            long createRevision,
            long modRevision,
            long version,
            long lease) {}

    /** A change of a key: its new item, or empty when it was deleted. */
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

    /** Returns the items from {@code key} on, up to {@code end} (exclusive). */
    List<Item> range(String key, String end) {
        return List.copyOf(items.subMap(key, end).values());
    }

    /** Begins a write: all puts and deletions until the next one share a revision. */
    void beginWrite() {
        revision++;
    }

    void put(String key, String value, long lease) {
        Item old = items.get(key);
        long created = old == null ? revision : old.createRevision();
        long version = old == null ? 1 : old.version() + 1;
        Item item = new Item(key, value, created, revision, version, lease);
        items.put(key, item);
        remember(new Change(revision, key, Optional.of(item)));
    }

    int delete(String key, String end) {
        List<Item> gone = end.isEmpty() ? get(key).stream().toList() : range(key, end);
        for (Item item : gone) {
            items.remove(item.key());
            remember(new Change(revision, item.key(), Optional.empty()));
        }
        return gone.size();
    }

    long grant(long ttlMillis, long nowMillis) {
        lastLease++;
        leases.put(lastLease, new Lease(lastLease, ttlMillis, nowMillis + ttlMillis));
        return lastLease;
    }

    /** Returns the lease's full time in milliseconds, or zero when it is no more. */
    long keepAlive(long id, long nowMillis) {
        expire(nowMillis);
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

    void revoke(long id) {
        if (leases.remove(id) == null) {
            return;
        }
        List<Item> held = items.values().stream().filter(item -> item.lease() == id).toList();
        if (!held.isEmpty()) {
            beginWrite();
            held.forEach(item -> delete(item.key(), ""));
        }
    }

    /** Revokes the leases whose time is over. */
    void expire(long nowMillis) {
        List<Lease> over =
                leases.values().stream().filter(l -> l.expiresMillis() <= nowMillis).toList();
        over.forEach(lease -> revoke(lease.id()));
    }

    /** Returns the oldest revision that a watch may start from. */
    long oldestWatchable() {
        return history.size() < MAX_HISTORY ? 1 : history.getFirst().revision() + 1;
    }

    /** Returns the changes from {@code fromRevision} on of keys from {@code key} to {@code end}. */
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

    private void remember(Change change) {
        history.addLast(change);
        if (history.size() > MAX_HISTORY) {
            history.removeFirst();
        }
    }
}
