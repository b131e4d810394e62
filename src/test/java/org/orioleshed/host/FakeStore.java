package org.orioleshed.host;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.orioleshed.host.HostEvent.StoreAnswer;
import org.orioleshed.model.Payload;

/** An in-memory key-value store with compare-and-swap. */
public final class FakeStore {
    private final Map<String, Entry> entries = new HashMap<>();
    private long revision;

    /** The number of reads. */
    public int reads;

    /** The number of writes, conflicts included. */
    public int writes;

    /** The number of bytes written. */
    public long bytesWritten;

    /** The size of the largest value, in bytes. */
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
        long currentRevision = entry == null ? 0 : entry.revision;
        if (currentRevision != swap.expectedRevision()) {
            return new StoreAnswer.Conflict(
                    Optional.ofNullable(entry).map(Entry::value), currentRevision);
        }
        revision++;
        entries.put(swap.key(), new Entry(swap.value(), revision));
        bytesWritten += swap.value().size();
        largestValue = Math.max(largestValue, swap.value().size());
        return new StoreAnswer.Swapped(revision);
    }

    /** Executes a store call. */
    public StoreAnswer apply(HostAction action) {
        return switch (action) {
            case HostAction.ReadStore read -> read(read.key());
            case HostAction.CompareAndSwap swap -> swap(swap);
            default -> throw new IllegalArgumentException("not a store call: " + action);
        };
    }
}
