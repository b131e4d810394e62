package org.orioleshed.store;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Lets reads of one key share a call. A read joins only a call that is not yet made: one under way
 * may have missed a write that came before the read was asked for.
 */
final class SharedReads {
    private static final class Slot {
        private CompletableFuture<Store.Result> next;
    }

    private final Map<String, Slot> slotByKey = new HashMap<>();

    /** Returns the answer of {@code call}, or of one made for another reader of {@code key}. */
    CompletableFuture<Store.Result> read(
            String key, Supplier<CompletableFuture<Store.Result>> call) {
        CompletableFuture<Store.Result> mine;
        synchronized (this) {
            Slot slot = slotByKey.get(key);
            if (slot != null) {
                if (slot.next == null) {
                    slot.next = new CompletableFuture<>();
                }
                return slot.next.copy();
            }
            slotByKey.put(key, new Slot());
            mine = new CompletableFuture<>();
        }
        make(key, call, mine);
        return mine;
    }

    private void make(
            String key,
            Supplier<CompletableFuture<Store.Result>> call,
            CompletableFuture<Store.Result> answer) {
        var unused =
                call.get()
                        .thenAccept(
                                result -> {
                                    CompletableFuture<Store.Result> next = next(key);
                                    answer.complete(result);
                                    if (next != null) {
                                        make(key, call, next);
                                    }
                                });
    }

    private synchronized CompletableFuture<Store.Result> next(String key) {
        Slot slot = slotByKey.get(key);
        CompletableFuture<Store.Result> next = slot.next;
        slot.next = null;
        if (next == null) {
            slotByKey.remove(key);
        }
        return next;
    }
}
