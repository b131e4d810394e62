package org.orioleshed.request;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.model.RequestId;
import org.orioleshed.model.RequestKey;

/**
 * The part of the directory of keys that this host keeps: which request runs, or ran last, under a
 * key. The keys are divided over the hosts by rendezvous hashing, each to two of them, so that the
 * death of one does not lose the entry. An entry stands while its request runs and for a stated
 * time after; it is dropped earlier when the directory is full, the oldest first, or when the host
 * of its request is gone.
 */
final class KeyDirectory {
    private static final int MAX_ENTRIES = 100_000;

    private final long keptNanos;
    private final LinkedHashMap<RequestKey, Entry> entries = new LinkedHashMap<>();
    private FleetSnapshot fleet = FleetSnapshot.EMPTY;

    KeyDirectory(long keptMillis) {
        this.keptNanos = TimeUnit.MILLISECONDS.toNanos(keptMillis);
    }

    private record Entry(RequestId holder, boolean open, long untilNanos) {}

    void onFleet(FleetSnapshot changed) {
        fleet = changed;
    }

    /**
     * Enters a request under its key unless another holds it; returns the holder then. A holder
     * whose host is gone is returned once more, since its run may still be on an engine, and is
     * replaced.
     */
    Optional<RequestId> open(long nowNanos, RequestKey key, RequestId request) {
        Entry entry = entries.get(key);
        boolean held =
                entry != null && nowNanos < entry.untilNanos && !entry.holder.equals(request);
        if (held && lives(entry.holder)) {
            return Optional.of(entry.holder);
        }
        put(key, new Entry(request, true, Long.MAX_VALUE));
        return held && entry.open ? Optional.of(entry.holder) : Optional.empty();
    }

    /** Notes that a request ended: its host knows the outcome for a while. */
    void close(long nowNanos, RequestKey key, RequestId request, boolean mayRunAgain) {
        Entry entry = entries.get(key);
        if (entry == null || !entry.holder.equals(request)) {
            return;
        }
        if (mayRunAgain) {
            entries.remove(key);
            return;
        }
        put(key, new Entry(request, false, nowNanos + keptNanos));
    }

    /** Returns the request that holds a key, as long as its host lives. */
    Optional<RequestId> holder(long nowNanos, RequestKey key) {
        Entry entry = entries.get(key);
        if (entry == null || nowNanos >= entry.untilNanos || !lives(entry.holder)) {
            return Optional.empty();
        }
        return Optional.of(entry.holder);
    }

    int size() {
        return entries.size();
    }

    private boolean lives(RequestId holder) {
        EntryHost host = fleet.hosts().get(holder.host());
        return host != null
                && host.state() != EntryHost.State.DEAD
                && host.incarnation() <= holder.incarnation();
    }

    private void put(RequestKey key, Entry entry) {
        entries.remove(key);
        entries.put(key, entry);
        if (entries.size() > MAX_ENTRIES) {
            Iterator<Map.Entry<RequestKey, Entry>> oldest = entries.entrySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }
}
