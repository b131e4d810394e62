package org.orioleshed.request;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.orioleshed.model.Fingerprint;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.RequestKey;

/** A cache of recent final outcomes by key, bounded in age and size. */
final class OutcomeCache {
    /** The estimated size of an entry without its text. */
    private static final int ENTRY_BYTES = 300;

    /**
     * A cached final outcome.
     *
     * @param fingerprint the fingerprint of the request's content
     * @param outcome the outcome
     * @param pieces a model's complete answer, in order; otherwise empty
     */
    record CachedOutcome(
            Fingerprint fingerprint, Outcome outcome, List<RequestMessage.Piece> pieces) {
        /** Copies the list. */
        CachedOutcome {
            pieces = List.copyOf(pieces);
        }
    }

    private final long retentionNanos;
    private final long maxBytes;
    private final LinkedHashMap<RequestKey, Entry> entries = new LinkedHashMap<>();
    private long bytes;

    OutcomeCache(long retentionMillis, long maxBytes) {
        this.retentionNanos = TimeUnit.MILLISECONDS.toNanos(retentionMillis);
        this.maxBytes = maxBytes;
    }

    void put(long nowNanos, RequestKey key, CachedOutcome cached) {
        remove(key);
        Entry entry = new Entry(cached, nowNanos + retentionNanos, size(cached));
        entries.put(key, entry);
        bytes += entry.bytes;
        trim(nowNanos);
    }

    Optional<CachedOutcome> get(long nowNanos, RequestKey key) {
        Entry entry = entries.get(key);
        if (entry == null || nowNanos >= entry.untilNanos) {
            return Optional.empty();
        }
        return Optional.of(entry.cached);
    }

    void remove(RequestKey key) {
        Entry entry = entries.remove(key);
        if (entry != null) {
            bytes -= entry.bytes;
        }
    }

    /** Removes entries that have expired or exceed the size limit, oldest first. */
    void trim(long nowNanos) {
        Iterator<Entry> oldest = entries.values().iterator();
        while (oldest.hasNext()) {
            Entry entry = oldest.next();
            if (bytes <= maxBytes && nowNanos < entry.untilNanos) {
                return;
            }
            bytes -= entry.bytes;
            oldest.remove();
        }
    }

    private static int size(CachedOutcome cached) {
        int size = ENTRY_BYTES;
        for (RequestMessage.Piece piece : new ArrayList<>(cached.pieces())) {
            size += ENTRY_BYTES / 4 + piece.text().size();
        }
        if (cached.outcome() instanceof Outcome.Answered answered) {
            size += answered.body().size();
        }
        return size;
    }

    private record Entry(CachedOutcome cached, long untilNanos, int bytes) {}
}
