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

/** Recent final outcomes by key, kept for a stated time and within a stated size. */
final class Results {
    /** What one entry takes besides its text, in bytes. */
    private static final int ENTRY_BYTES = 300;

    /**
     * A final outcome.
     *
     * @param fingerprint the content that it belongs to
     * @param outcome the outcome
     * @param pieces a model's whole answer, in order; empty otherwise
     */
    record Result(Fingerprint fingerprint, Outcome outcome, List<RequestMessage.Piece> pieces) {
        /** Copies the list. */
        Result {
            pieces = List.copyOf(pieces);
        }
    }

    private final long keptNanos;
    private final long maxBytes;
    private final LinkedHashMap<RequestKey, Entry> entries = new LinkedHashMap<>();
    private long bytes;

    Results(long keptMillis, long maxBytes) {
        this.keptNanos = TimeUnit.MILLISECONDS.toNanos(keptMillis);
        this.maxBytes = maxBytes;
    }

    void put(long nowNanos, RequestKey key, Result result) {
        remove(key);
        Entry entry = new Entry(result, nowNanos + keptNanos, size(result));
        entries.put(key, entry);
        bytes += entry.bytes;
        trim(nowNanos);
    }

    Optional<Result> get(long nowNanos, RequestKey key) {
        Entry entry = entries.get(key);
        if (entry == null || nowNanos >= entry.untilNanos) {
            return Optional.empty();
        }
        return Optional.of(entry.result);
    }

    void remove(RequestKey key) {
        Entry entry = entries.remove(key);
        if (entry != null) {
            bytes -= entry.bytes;
        }
    }

    /** Drops what is too old or too much, the oldest first. */
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

    private static int size(Result result) {
        int size = ENTRY_BYTES;
        for (RequestMessage.Piece piece : new ArrayList<>(result.pieces())) {
            size += ENTRY_BYTES / 4 + piece.text().size();
        }
        if (result.outcome() instanceof Outcome.Answered answered) {
            size += answered.body().size();
        }
        return size;
    }

    private record Entry(Result result, long untilNanos, int bytes) {}
}
