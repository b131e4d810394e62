package org.orioleshed.host;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.orioleshed.host.HostEvent.StoreAnswer;
import org.orioleshed.model.Payload;

/** A key-value store with compare-and-swap, in memory. */
public final class FakeStore {
    private final Map<String, Entry> entries = new HashMap<>();
    private long revision;

    /** Reads so far. */
    public int reads;

    /** Writes so far, conflicts included. */
    public int writes;

    /** Bytes written so far. */
    public long bytesWritten;

    /** The size of the largest value. */
    public int largestValue;

    private record Entry(Payload value, long revision) {}

    StoreAnswer read(String key) {
        reads++;
        Entry entry = entries.get(key);
        return entry == null
                ? new StoreAnswer.Value(Optional.empty(), 0)
                : new StoreAnswer.Value(Optional.of(entry.value), entry.revision);
    }

    StoreAnswer swap(HostAction.CompareAndSwap swap) {
        writes++;
        Entry entry = entries.get(swap.key());
        long present = entry == null ? 0 : entry.revision;
        if (present != swap.expectedRevision()) {
            return new StoreAnswer.Conflict(Optional.ofNullable(entry).map(Entry::value), present);
        }
        revision++;
        entries.put(swap.key(), new Entry(swap.value(), revision));
        bytesWritten += swap.value().size();
        largestValue = Math.max(largestValue, swap.value().size());
        return new StoreAnswer.Swapped(revision);
    }

    /** Does a call on the store. */
    public StoreAnswer apply(HostAction action) {
        return switch (action) {
            case HostAction.ReadStore read -> read(read.key());
            case HostAction.CompareAndSwap swap -> swap(swap);
            default -> throw new IllegalArgumentException("no call on the store: " + action);
        };
    }
}
