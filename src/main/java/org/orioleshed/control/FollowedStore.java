package org.orioleshed.control;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.orioleshed.control.ControlEvent.FollowedKey;
import org.orioleshed.model.Payload;
import org.orioleshed.store.Store;
import org.orioleshed.store.StoreRevision;

/** Executes the actions of one {@link StoreFollower}. */
final class FollowedStore {
    private static final long READ_TIMEOUT_MILLIS = 2_000;

    private final FollowedKey key;
    private final Store store;
    private final Consumer<ControlEvent> eventSink;
    private final StoreFollower follower;
    private Store.Watch openWatch;
    private long watchId;

    FollowedStore(
            FollowedKey key,
            Store store,
            Consumer<ControlEvent> eventSink,
            RandomGenerator random) {
        this.key = key;
        this.store = store;
        this.eventSink = eventSink;
        this.follower = new StoreFollower(key.pollMillis(), random);
    }

    void on(long nowNanos, StoreFollower.Event event) {
        for (StoreFollower.Action action : follower.on(nowNanos, event)) {
            switch (action) {
                case StoreFollower.Action.Read read -> read(read);
                case StoreFollower.Action.Watch watch -> watch(watch.fromRevision());
                case StoreFollower.Action.CloseWatch close -> close();
            }
        }
    }

    /** Returns whether {@code id} names the open watch; events of earlier watches are stale. */
    boolean isOpen(long id) {
        return openWatch != null && id == watchId;
    }

    void watchClosed(long nowNanos, long id) {
        if (id == watchId) {
            openWatch = null;
            on(nowNanos, new StoreFollower.Event.WatchClosed());
        }
    }

    void close() {
        watchId++;
        if (openWatch != null) {
            openWatch.close();
            openWatch = null;
        }
    }

    private void read(StoreFollower.Action.Read read) {
        boolean isPrefix = key == FollowedKey.PLATFORM;
        var call =
                isPrefix
                        ? store.list(key.key(), READ_TIMEOUT_MILLIS)
                        : store.getNewer(key.key(), read.afterRevision(), READ_TIMEOUT_MILLIS);
        var unused =
                call.thenAccept(
                        result -> eventSink.accept(new ControlEvent.ReadAnswered(key, result)));
    }

    private void watch(StoreRevision fromRevision) {
        long id = ++watchId;
        openWatch =
                store.watch(
                        key.key(),
                        fromRevision,
                        new Store.Watcher() {
                            @Override
                            public void onChange(
                                    String changed,
                                    Optional<Payload> value,
                                    StoreRevision revision) {
                                eventSink.accept(
                                        new ControlEvent.WatchChanged(
                                                key, id, changed, value, revision));
                            }

                            @Override
                            public void onBreak(String detail) {
                                eventSink.accept(new ControlEvent.WatchClosed(key, id));
                            }
                        });
    }
}
