package org.orioleshed.control;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.orioleshed.control.ControlEvent.FollowedKey;
import org.orioleshed.model.Payload;
import org.orioleshed.store.Store;

/** Carries out what one {@link StoreFollower} decides. */
final class FollowedStore {
    private static final long TIMEOUT_MILLIS = 2_000;

    private final FollowedKey key;
    private final Store store;
    private final Consumer<ControlEvent> ring;
    private final StoreFollower follower;
    private Store.Watch open;
    private long watch;

    FollowedStore(
            FollowedKey key, Store store, Consumer<ControlEvent> ring, RandomGenerator random) {
        this.key = key;
        this.store = store;
        this.ring = ring;
        this.follower = new StoreFollower(key.pollMillis(), random);
    }

    void on(long nowNanos, StoreFollower.Event event) {
        for (StoreFollower.Action action : follower.on(nowNanos, event)) {
            switch (action) {
                case StoreFollower.Action.Read read -> read(read);
                case StoreFollower.Action.Watch from -> watch(from.fromRevision());
                case StoreFollower.Action.Unwatch end -> close();
            }
        }
    }

    /** Returns whether a word of a watch comes from the one that is open. */
    boolean isOpen(long told) {
        return open != null && told == watch;
    }

    void broke(long nowNanos, long broken) {
        if (broken == watch) {
            open = null;
            on(nowNanos, new StoreFollower.Event.Broke());
        }
    }

    void close() {
        watch++;
        if (open != null) {
            open.close();
            open = null;
        }
    }

    private void read(StoreFollower.Action.Read read) {
        boolean prefix = key == FollowedKey.PLATFORM;
        var asked =
                prefix
                        ? store.list(key.key(), TIMEOUT_MILLIS)
                        : store.getNewer(key.key(), read.afterRevision(), TIMEOUT_MILLIS);
        var unused =
                asked.thenAccept(result -> ring.accept(new ControlEvent.ReadAnswered(key, result)));
    }

    private void watch(long fromRevision) {
        long mine = ++watch;
        open =
                store.watch(
                        key.key(),
                        fromRevision,
                        new Store.Watcher() {
                            @Override
                            public void onChange(
                                    String changed, Optional<Payload> value, long revision) {
                                ring.accept(
                                        new ControlEvent.WatchTold(
                                                key, mine, changed, value, revision));
                            }

                            @Override
                            public void onBreak(String detail) {
                                ring.accept(new ControlEvent.WatchBroke(key, mine));
                            }
                        });
    }
}
