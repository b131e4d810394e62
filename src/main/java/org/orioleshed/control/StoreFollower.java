package org.orioleshed.control;

import java.util.List;
import java.util.random.RandomGenerator;
import org.orioleshed.model.StateMachine;
import org.orioleshed.store.Store;
import org.orioleshed.store.StoreRevision;

/**
 * Decides when to read and watch one key or prefix of the store. A following host also polls at
 * intervals, because a watch may stop delivering without an error; any other host reads once after
 * its start. Failed reads are retried with exponential backoff and jitter.
 */
final class StoreFollower implements StateMachine<StoreFollower.Event, StoreFollower.Action> {
    /** How long a host keeps reading from the store. */
    enum Mode {
        /** Until one read succeeded. */
        ONCE,
        /** Permanently, with a watch. */
        FOLLOW
    }

    /** An event of the state machine. */
    sealed interface Event {
        /** Time passed. */
        record Tick() implements Event {}

        /** The host's mode changed. */
        record ModeChanged(Mode mode) implements Event {}

        /** The store answered the last read. */
        record ReadAnswered(Store.Result result) implements Event {}

        /** The value must be read again without delay. */
        record RefreshRequested() implements Event {}

        /** The watch ended unexpectedly. */
        record WatchClosed() implements Event {}
    }

    /** An action of the state machine. */
    sealed interface Action {
        /** Read everything, or only what changed after {@code afterRevision}. */
        record Read(boolean full, StoreRevision afterRevision) implements Action {}

        /** Watch for changes from a revision on. */
        record Watch(StoreRevision fromRevision) implements Action {}

        /** Close the watch. */
        record CloseWatch() implements Action {}
    }

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long MIN_BACKOFF_NANOS = 250 * NANOS_PER_MILLI;
    private static final long MAX_BACKOFF_NANOS = 8_000 * NANOS_PER_MILLI;
    private static final int MAX_DOUBLINGS = 5;
    private static final long START_JITTER_NANOS = 100 * NANOS_PER_MILLI;

    private final long pollNanos;
    private final RandomGenerator random;
    private Mode mode = Mode.ONCE;
    private boolean reading;
    private boolean readingFull;
    private boolean needsFullRead = true;
    private boolean answered;
    private boolean watching;
    private int failures;
    private StoreRevision lastRevision = StoreRevision.NONE;
    private long nextReadNanos;

    /**
     * Creates a follower that reads on its first tick.
     *
     * @param pollMillis the time between reads while the host follows, in milliseconds
     */
    StoreFollower(long pollMillis, RandomGenerator random) {
        this.pollNanos = pollMillis * NANOS_PER_MILLI;
        this.random = random;
    }

    @Override
    public List<Action> on(long nowNanos, Event event) {
        return switch (event) {
            case Event.Tick tick -> tick(nowNanos);
            case Event.ModeChanged changed -> changeMode(nowNanos, changed.mode());
            case Event.ReadAnswered read -> onReadAnswered(nowNanos, read.result());
            case Event.RefreshRequested requested -> {
                answered = false;
                nextReadNanos = nowNanos;
                yield tick(nowNanos);
            }
            case Event.WatchClosed closed -> {
                watching = false;
                needsFullRead = true;
                if (failures == 0) {
                    nextReadNanos = nowNanos + random.nextLong(MIN_BACKOFF_NANOS);
                }
                yield List.of();
            }
        };
    }

    private List<Action> tick(long nowNanos) {
        boolean needsRead = mode == Mode.FOLLOW || !answered;
        if (reading || !needsRead || nowNanos < nextReadNanos) {
            return List.of();
        }
        reading = true;
        readingFull = needsFullRead;
        return List.of(
                new Action.Read(needsFullRead, needsFullRead ? StoreRevision.NONE : lastRevision));
    }

    private List<Action> changeMode(long nowNanos, Mode next) {
        if (next == mode) {
            return List.of();
        }
        mode = next;
        if (next == Mode.FOLLOW) {
            nextReadNanos = Math.max(nextReadNanos, nowNanos + random.nextLong(START_JITTER_NANOS));
            return List.of();
        }
        boolean open = watching;
        watching = false;
        return open ? List.of(new Action.CloseWatch()) : List.of();
    }

    private List<Action> onReadAnswered(long nowNanos, Store.Result result) {
        reading = false;
        if (!(result instanceof Store.Result.Entries entries)) {
            failures = Math.min(failures + 1, MAX_DOUBLINGS);
            long backoffNanos = Math.min(MAX_BACKOFF_NANOS, MIN_BACKOFF_NANOS << (failures - 1));
            nextReadNanos = nowNanos + backoffNanos / 2 + random.nextLong(backoffNanos);
            return List.of();
        }
        failures = 0;
        if (!readingFull && lastRevision.isAfter(entries.storeRevision())) {
            needsFullRead = true;
            nextReadNanos = nowNanos;
            return List.of();
        }
        answered = true;
        needsFullRead = false;
        lastRevision = latest(entries);
        nextReadNanos = nowNanos + pollNanos - random.nextLong(pollNanos / 5);
        if (mode == Mode.FOLLOW && !watching) {
            watching = true;
            return List.of(new Action.Watch(entries.storeRevision().next()));
        }
        return List.of();
    }

    private StoreRevision latest(Store.Result.Entries entries) {
        StoreRevision latest = readingFull ? StoreRevision.NONE : lastRevision;
        for (Store.Entry entry : entries.entries()) {
            latest = StoreRevision.max(latest, entry.revision());
        }
        return latest;
    }
}
