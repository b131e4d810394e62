package org.orioleshed.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.orioleshed.model.Payload;

/**
 * A store in memory for tests, with faults by command. Answers come at once, or when {@link
 * #release} is called while it is slow. Time for leases is given by {@link #advanceMillis}.
 */
public final class MemoryStore implements Store {
    private record Stored(Payload value, long revision, long leaseId) {}

    private record Waiting(Runnable run) {}

    private final TreeMap<String, Stored> entries = new TreeMap<>();
    private final Map<Long, long[]> leaseEndAndTtl = new TreeMap<>();
    private final List<MemoryWatch> watches = new ArrayList<>();
    private final List<Waiting> slow = new ArrayList<>();
    private long revision;
    private long nowMillis;
    private long nextLease = 1;
    private int loseAnswers;
    private boolean away;
    private boolean slowed;
    private int calls;

    /** The next {@code count} writes take effect, but their answers are lost. */
    public synchronized void loseAnswers(int count) {
        loseAnswers = count;
    }

    /** Refuses every call and breaks all watches, or ends that. */
    public void setAway(boolean mark) {
        List<MemoryWatch> broken;
        synchronized (this) {
            away = mark;
            broken = mark ? List.copyOf(watches) : List.of();
            watches.removeAll(broken);
        }
        broken.forEach(watch -> watch.watcher.onBreak("store away"));
    }

    /** Holds every call back until {@link #release}. */
    public synchronized void setSlow(boolean mark) {
        slowed = mark;
    }

    /** Runs the calls held back. */
    public void release() {
        List<Waiting> ready;
        synchronized (this) {
            ready = List.copyOf(slow);
            slow.clear();
        }
        ready.forEach(waiting -> waiting.run().run());
    }

    /** Lets time pass: leases that ran out take their keys with them. */
    public void advanceMillis(long millis) {
        List<String> gone = new ArrayList<>();
        synchronized (this) {
            nowMillis += millis;
            leaseEndAndTtl.values().removeIf(lease -> lease[0] <= nowMillis);
            entries.forEach(
                    (key, stored) -> {
                        if (stored.leaseId() != 0
                                && !leaseEndAndTtl.containsKey(stored.leaseId())) {
                            gone.add(key);
                        }
                    });
        }
        gone.forEach(this::delete);
    }

    /** Writes a key as the platform or an operator would, past all faults. */
    public void put(String key, String value) {
        write(key, Payload.of(value), 0);
    }

    /** Deletes a key, past all faults. */
    public void delete(String key) {
        long at;
        synchronized (this) {
            entries.remove(key);
            at = ++revision;
        }
        tell(key, Optional.empty(), at);
    }

    /** Returns what {@link #restore} takes. */
    public synchronized Map<String, Payload> backup() {
        Map<String, Payload> copy = new TreeMap<>();
        entries.forEach((key, stored) -> copy.put(key, stored.value()));
        return copy;
    }

    /** Replaces all keys by those of a backup; revisions start again from one. */
    public void restore(Map<String, Payload> backup) {
        synchronized (this) {
            entries.clear();
            revision = 0;
            backup.forEach((key, value) -> entries.put(key, new Stored(value, ++revision, 0)));
        }
        breakWatches();
    }

    /** Breaks every watch, as a lost connection does. */
    public void breakWatches() {
        List<MemoryWatch> broken;
        synchronized (this) {
            broken = List.copyOf(watches);
            watches.clear();
        }
        broken.forEach(watch -> watch.watcher.onBreak("broken"));
    }

    /** Returns the calls made so far, a watch counted once. */
    public synchronized int calls() {
        return calls;
    }

    /** Returns the watches that wait. */
    public synchronized int watches() {
        return watches.size();
    }

    @Override
    public CompletableFuture<Result> get(String key, long timeoutMillis) {
        return answer(
                false,
                () -> {
                    Stored stored = entries.get(key);
                    return new Result.Entries(
                            stored == null ? List.of() : List.of(entry(key, stored)), revision);
                });
    }

    @Override
    public CompletableFuture<Result> list(String prefix, long timeoutMillis) {
        return answer(
                false,
                () -> {
                    List<Entry> found = new ArrayList<>();
                    entries.tailMap(prefix)
                            .forEach(
                                    (key, stored) -> {
                                        if (key.startsWith(prefix)) {
                                            found.add(entry(key, stored));
                                        }
                                    });
                    return new Result.Entries(found, revision);
                });
    }

    @Override
    public CompletableFuture<Result> swap(
            String key, long expectedRevision, Payload value, long leaseId, long timeoutMillis) {
        return answer(
                true,
                () -> {
                    Stored stored = entries.get(key);
                    long present = stored == null ? 0 : stored.revision();
                    if (present != expectedRevision) {
                        return new Result.Conflict(
                                Optional.ofNullable(stored).map(s -> entry(key, s)));
                    }
                    if (leaseId != 0 && !leaseEndAndTtl.containsKey(leaseId)) {
                        return new Result.Away("no such lease");
                    }
                    return new Result.Swapped(write(key, value, leaseId));
                });
    }

    @Override
    public CompletableFuture<Result> grantLease(long ttlMillis, long timeoutMillis) {
        return answer(
                true,
                () -> {
                    long id = nextLease++;
                    leaseEndAndTtl.put(id, new long[] {nowMillis + ttlMillis, ttlMillis});
                    return new Result.Lease(id, ttlMillis);
                });
    }

    @Override
    public CompletableFuture<Result> keepAlive(long leaseId, long timeoutMillis) {
        return answer(
                true,
                () -> {
                    long[] lease = leaseEndAndTtl.get(leaseId);
                    if (lease == null) {
                        return new Result.Lease(leaseId, 0);
                    }
                    lease[0] = nowMillis + lease[1];
                    return new Result.Lease(leaseId, lease[1]);
                });
    }

    @Override
    public Watch watch(String prefix, long fromRevision, Watcher watcher) {
        MemoryWatch watch = new MemoryWatch(prefix, watcher);
        List<Entry> missed = new ArrayList<>();
        boolean refused;
        synchronized (this) {
            calls++;
            refused = away;
            if (!refused) {
                watches.add(watch);
                entries.forEach(
                        (key, stored) -> {
                            if (key.startsWith(prefix) && stored.revision() >= fromRevision) {
                                missed.add(entry(key, stored));
                            }
                        });
            }
        }
        if (refused) {
            watcher.onBreak("store away");
        }
        missed.forEach(e -> watcher.onChange(e.key(), Optional.of(e.value()), e.revision()));
        return watch;
    }

    @Override
    public void close() {}

    private CompletableFuture<Result> answer(boolean write, Supplier<Result> call) {
        CompletableFuture<Result> future = new CompletableFuture<>();
        Runnable run = () -> future.complete(run(write, call));
        synchronized (this) {
            calls++;
            if (slowed) {
                slow.add(new Waiting(run));
                return future;
            }
        }
        run.run();
        return future;
    }

    private synchronized Result run(boolean write, Supplier<Result> call) {
        if (away) {
            return new Result.Away("store away");
        }
        Result result = call.get();
        if (write && loseAnswers > 0) {
            loseAnswers--;
            return new Result.Unknown("answer lost");
        }
        return result;
    }

    private long write(String key, Payload value, long leaseId) {
        long at;
        synchronized (this) {
            at = ++revision;
            entries.put(key, new Stored(value, at, leaseId));
        }
        tell(key, Optional.of(value), at);
        return at;
    }

    private void tell(String key, Optional<Payload> value, long at) {
        List<MemoryWatch> listening;
        synchronized (this) {
            listening = watches.stream().filter(w -> key.startsWith(w.prefix)).toList();
        }
        listening.forEach(watch -> watch.watcher.onChange(key, value, at));
    }

    private static Entry entry(String key, Stored stored) {
        return new Entry(key, stored.value(), stored.revision());
    }

    private final class MemoryWatch implements Watch {
        private final String prefix;
        private final Watcher watcher;

        MemoryWatch(String prefix, Watcher watcher) {
            this.prefix = prefix;
            this.watcher = watcher;
        }

        @Override
        public void close() {
            synchronized (MemoryStore.this) {
                watches.remove(this);
            }
        }
    }
}
