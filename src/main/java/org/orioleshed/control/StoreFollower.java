package org.orioleshed.control;

import java.util.List;
import java.util.random.RandomGenerator;
import org.orioleshed.model.StateMachine;
import org.orioleshed.store.Store;

/**
 * Decides when to read and watch one key or prefix of the store. A host that follows reads at
 * intervals, whatever its watch says, since a watch may have gone silent; any other host reads once
 * after its start. Failures are retried after a growing, uneven time.
 */
final class StoreFollower implements StateMachine<StoreFollower.Event, StoreFollower.Action> {
    /** How much a host asks of the store. */
    enum Mode {
        /** Until the store answered once. */
        ONCE,
        /** Always, with a watch. */
        FOLLOW
    }

    /** What can happen. */
    sealed interface Event {
        /** Time passed. */
        record Tick() implements Event {}

        /** The host's part changed. */
        record ModeChanged(Mode mode) implements Event {}

        /** The store answered the last read. */
        record ReadAnswered(Store.Result result) implements Event {}

        /** The store's answer is wanted again soon. */
        record ReadWanted() implements Event {}

        /** The watch broke off. */
        record Broke() implements Event {}
    }

    /** What to do. */
    sealed interface Action {
        /** Read: the whole, or only what changed after {@code afterRevision}. */
        record Read(boolean whole, long afterRevision) implements Action {}

        /** Watch from a revision on. */
        record Watch(long fromRevision) implements Action {}

        /** End the watch. */
        record Unwatch() implements Action {}
    }

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long FIRST_RETRY_NANOS = 250 * NANOS_PER_MILLI;
    private static final long LAST_RETRY_NANOS = 8_000 * NANOS_PER_MILLI;
    private static final int MAX_DOUBLINGS = 5;
    private static final long START_SPREAD_NANOS = 100 * NANOS_PER_MILLI;

    private final long pollNanos;
    private final RandomGenerator random;
    private Mode mode = Mode.ONCE;
    private boolean reading;
    private boolean readingWhole;
    private boolean wantWhole = true;
    private boolean answered;
    private boolean watching;
    private int failures;
    private long knownRevision;
    private long nextReadNanos;

    /**
     * Makes one that reads at once.
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
            case Event.ReadAnswered read -> take(nowNanos, read.result());
            case Event.ReadWanted wanted -> {
                answered = false;
                nextReadNanos = nowNanos;
                yield tick(nowNanos);
            }
            case Event.Broke broke -> {
                watching = false;
                wantWhole = true;
                if (failures == 0) {
                    nextReadNanos = nowNanos + random.nextLong(FIRST_RETRY_NANOS);
                }
                yield List.of();
            }
        };
    }

    private List<Action> tick(long nowNanos) {
        boolean wanted = mode == Mode.FOLLOW || !answered;
        if (reading || !wanted || nowNanos < nextReadNanos) {
            return List.of();
        }
        reading = true;
        readingWhole = wantWhole;
        return List.of(new Action.Read(wantWhole, wantWhole ? 0 : knownRevision));
    }

    private List<Action> changeMode(long nowNanos, Mode next) {
        if (next == mode) {
            return List.of();
        }
        mode = next;
        if (next == Mode.FOLLOW) {
            nextReadNanos = Math.max(nextReadNanos, nowNanos + random.nextLong(START_SPREAD_NANOS));
            return List.of();
        }
        boolean open = watching;
        watching = false;
        return open ? List.of(new Action.Unwatch()) : List.of();
    }

    private List<Action> take(long nowNanos, Store.Result result) {
        reading = false;
        if (!(result instanceof Store.Result.Entries entries)) {
            failures = Math.min(failures + 1, MAX_DOUBLINGS);
            long retryNanos = Math.min(LAST_RETRY_NANOS, FIRST_RETRY_NANOS << (failures - 1));
            nextReadNanos = nowNanos + retryNanos / 2 + random.nextLong(retryNanos);
            return List.of();
        }
        failures = 0;
        if (!readingWhole && entries.storeRevision() < knownRevision) {
            wantWhole = true;
            nextReadNanos = nowNanos;
            return List.of();
        }
        answered = true;
        wantWhole = false;
        knownRevision = latest(entries);
        nextReadNanos = nowNanos + pollNanos - random.nextLong(pollNanos / 5);
        if (mode == Mode.FOLLOW && !watching) {
            watching = true;
            return List.of(new Action.Watch(entries.storeRevision() + 1));
        }
        return List.of();
    }

    private long latest(Store.Result.Entries entries) {
        long latest = readingWhole ? 0 : knownRevision;
        for (Store.Entry entry : entries.entries()) {
            latest = Math.max(latest, entry.revision());
        }
        return latest;
    }
}
