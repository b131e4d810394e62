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
 * This host's part of the key directory, which maps a key to the request that runs, or ran last,
 * under it. Rendezvous hashing assigns each key to two hosts, so that the death of one does not
 * lose the entry. An entry is kept while its request runs and for a configured time afterwards. It
 * is dropped earlier if the directory is full, oldest first, or if the host of its request is dead.
 */
final class KeyDirectory {
    private static final int MAX_ENTRIES = 100_000;

    private final long retentionNanos;
    private final LinkedHashMap<RequestKey, Entry> entries = new LinkedHashMap<>();
    private FleetSnapshot fleet = FleetSnapshot.EMPTY;

    KeyDirectory(long retentionMillis) {
        this.retentionNanos = TimeUnit.MILLISECONDS.toNanos(retentionMillis);
    }

    private record Entry(RequestId holder, boolean open, long untilNanos) {}

    void onFleet(FleetSnapshot changed) {
        fleet = changed;
    }

    /**
     * Registers a request under its key unless another request holds it, in which case the holder
     * is returned. A holder whose host is dead is replaced, but returned one last time, since its
     * run may still be on an engine.
     */
    Optional<RequestId> open(long nowNanos, RequestKey key, RequestId request) {
        Entry entry = entries.get(key);
        boolean heldByOther =
                entry != null && nowNanos < entry.untilNanos && !entry.holder.equals(request);
        if (heldByOther && isHostAlive(entry.holder)) {
            return Optional.of(entry.holder);
        }
        put(key, new Entry(request, true, Long.MAX_VALUE));
        return heldByOther && entry.open ? Optional.of(entry.holder) : Optional.empty();
    }

    /**
     * Records that a request ended; the entry is kept for the retention time, as its host has the
     * outcome.
     */
    void close(long nowNanos, RequestKey key, RequestId request, boolean mayRunAgain) {
        Entry entry = entries.get(key);
        if (entry == null || !entry.holder.equals(request)) {
            return;
        }
        if (mayRunAgain) {
            entries.remove(key);
            return;
        }
        put(key, new Entry(request, false, nowNanos + retentionNanos));
    }

    /** Returns the request that holds a key, if its host is alive. */
    Optional<RequestId> holder(long nowNanos, RequestKey key) {
        Entry entry = entries.get(key);
        if (entry == null || nowNanos >= entry.untilNanos || !isHostAlive(entry.holder)) {
            return Optional.empty();
        }
        return Optional.of(entry.holder);
    }

    int size() {
        return entries.size();
    }

    private boolean isHostAlive(RequestId holder) {
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
