package org.orioleshed.store;

import java.util.concurrent.Flow;
import java.util.concurrent.atomic.AtomicBoolean;

/** Reads the lines of one watch, and tells its watcher once when it ends. */
final class EtcdWatch implements Flow.Subscriber<String>, Store.Watch {
    private final Store.Watcher watcher;
    private final Runnable onEnd;
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile Flow.Subscription subscription;
    private volatile long heardNanos;

    /**
     * Makes one.
     *
     * @param onEnd called once when the watch is over, however it ended
     */
    EtcdWatch(Store.Watcher watcher, Runnable onEnd, long nowNanos) {
        this.watcher = watcher;
        this.onEnd = onEnd;
        this.heardNanos = nowNanos;
    }

    /** Breaks the watch when it said nothing for {@code silenceNanos}. */
    void checkSilence(long nowNanos, long silenceNanos) {
        if (nowNanos - heardNanos > silenceNanos) {
            breakOff("silent");
        }
    }

    /** Ends the watch and tells the watcher, unless it has ended before. */
    void breakOff(String detail) {
        if (end()) {
            watcher.onBreak(detail);
        }
    }

    @Override
    public void close() {
        end();
    }

    @Override
    public void onSubscribe(Flow.Subscription given) {
        subscription = given;
        if (ended.get()) {
            given.cancel();
            return;
        }
        given.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(String line) {
        heardNanos = System.nanoTime();
        if (ended.get() || line.isBlank()) {
            return;
        }
        EtcdJson.WatchLine read = EtcdJson.readWatchLine(line).orElse(null);
        if (read == null || read.cancelled()) {
            breakOff(read == null ? "a line that can't be read" : "cancelled by the store");
            return;
        }
        for (EtcdJson.Change change : read.changes()) {
            watcher.onChange(change.key(), change.value(), change.revision());
        }
    }

    @Override
    public void onError(Throwable problem) {
        breakOff(String.valueOf(problem));
    }

    @Override
    public void onComplete() {
        breakOff("closed by the store");
    }

    private boolean end() {
        if (!ended.compareAndSet(false, true)) {
            return false;
        }
        Flow.Subscription open = subscription;
        if (open != null) {
            open.cancel();
        }
        onEnd.run();
        return true;
    }
}
