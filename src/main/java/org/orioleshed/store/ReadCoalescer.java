package org.orioleshed.store;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Coalesces concurrent reads of one key. A read joins only a call that has not started yet: a call
 * in flight may have missed a write that was made before the read was requested.
 */
final class ReadCoalescer {
    /** The reads of a key with a call in flight. */
    private static final class Slot {
        /** The result of the next call; null if no read is waiting for one. */
        private CompletableFuture<Store.Result> next;
    }

    private final Map<String, Slot> slotByKey = new HashMap<>();

    /** Returns the result of {@code call} or of a call shared with other readers of {@code key}. */
    CompletableFuture<Store.Result> read(
            String key, Supplier<CompletableFuture<Store.Result>> call) {
        CompletableFuture<Store.Result> first;
        synchronized (this) {
            Slot slot = slotByKey.get(key);
            if (slot != null) {
                if (slot.next == null) {
                    slot.next = new CompletableFuture<>();
                }
                return slot.next.copy();
            }
            slotByKey.put(key, new Slot());
            first = new CompletableFuture<>();
        }
        start(key, call, first);
        return first;
    }

    private void start(
            String key,
            Supplier<CompletableFuture<Store.Result>> call,
            CompletableFuture<Store.Result> target) {
        var unused =
                call.get()
                        .thenAccept(
                                result -> {
                                    CompletableFuture<Store.Result> next = takeNext(key);
                                    target.complete(result);
                                    if (next != null) {
                                        start(key, call, next);
                                    }
                                });
    }

    private synchronized CompletableFuture<Store.Result> takeNext(String key) {
        Slot slot = slotByKey.get(key);
        CompletableFuture<Store.Result> next = slot.next;
        slot.next = null;
        if (next == null) {
            slotByKey.remove(key);
        }
        return next;
    }
}
