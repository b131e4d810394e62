package org.orioleshed.store;

import java.util.concurrent.Flow;
import java.util.concurrent.atomic.AtomicBoolean;

/** Parses the lines of one watch and notifies its watcher at most once when it fails. */
final class EtcdWatch implements Flow.Subscriber<String>, Store.Watch {
    private final Store.Watcher watcher;
    private final Runnable onEnd;
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile Flow.Subscription subscription;
    private volatile long lastReceivedNanos;

    /**
     * Creates a watch.
     *
     * @param watcher receives changes and the failure of the watch
     * @param onEnd called once when the watch ends, whether it failed or was closed
     * @param nowNanos the current time, in nanoseconds
     */
    EtcdWatch(Store.Watcher watcher, Runnable onEnd, long nowNanos) {
        this.watcher = watcher;
        this.onEnd = onEnd;
        this.lastReceivedNanos = nowNanos;
    }

    /** Fails the watch if no line was received for {@code idleTimeoutNanos}. */
    void checkIdle(long nowNanos, long idleTimeoutNanos) {
        if (nowNanos - lastReceivedNanos > idleTimeoutNanos) {
            fail("silent");
        }
    }

    /** Ends the watch and notifies the watcher, unless the watch has ended already. */
    void fail(String detail) {
        if (end()) {
            watcher.onBreak(detail);
        }
    }

    @Override
    public void close() {
        end();
    }

    @Override
    public void onSubscribe(Flow.Subscription newSubscription) {
        subscription = newSubscription;
        if (ended.get()) {
            newSubscription.cancel();
            return;
        }
        newSubscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(String line) {
        lastReceivedNanos = System.nanoTime();
        if (ended.get() || line.isBlank()) {
            return;
        }
        EtcdJson.WatchLine parsed = EtcdJson.readWatchLine(line).orElse(null);
        if (parsed == null || parsed.cancelled()) {
            fail(parsed == null ? "line cannot be parsed" : "cancelled by the store");
            return;
        }
        for (EtcdJson.Change change : parsed.changes()) {
            watcher.onChange(change.key(), change.value(), change.revision());
        }
        watcher.onConfirmed();
    }

    @Override
    public void onError(Throwable error) {
        fail(String.valueOf(error));
    }

    @Override
    public void onComplete() {
        fail("closed by the store");
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
