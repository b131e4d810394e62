package org.orioleshed.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Decides which requests a host that is late serves, and which it refuses. Pure: times are given,
 * in nanoseconds on the monotonic clock.
 *
 * <p>While the event loop is late, new requests wait here. In each round, which follows a poll of
 * all channels, the most urgent ones are served first, and among equally urgent ones the newest;
 * the rest of the loop's work gets the time between rounds. A request that can't be served within
 * its wait limit is refused as soon as two rounds in succession show it; a single one may have been
 * interrupted by a stall, after which all that waited can be served.
 *
 * @param <T> the type that identifies a request
 */
final class LoadShedder<T> {
    /** Polls go on at least twice as often as a loop that is not late polls. */
    static final long ROUND_NANOS = LoopLag.LATE_NANOS / 2;

    /** A caller is to retry after at most a third of its remaining time; this leaves a margin. */
    private static final double MAX_RETRY_FRACTION = 0.3;

    private static final long MIN_RETRY_MILLIS = 100;
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Successive multiples of the golden ratio, modulo 1, spread evenly over any number. */
    private static final double SPREAD_STEP = 0.618033988749895;

    private static final Comparator<Waiting<?>> ORDER =
            Comparator.<Waiting<?>>comparingInt(waiting -> waiting.arrival.rank())
                    .thenComparing(waiting -> -waiting.number);

    private final TreeSet<Waiting<T>> queue = new TreeSet<>(ORDER);
    private final Map<T, Waiting<T>> byRequest = new HashMap<>();
    private final Deque<Refuse<T>> refusals = new ArrayDeque<>();
    private double spread;
    private long arrivals;
    private long refused;
    private long roundNanos;
    private int servedInRound;
    private boolean mayServe;
    private boolean refusalsChosen;

    /** Whether the last round left requests waiting, or began none, and was one poll ago. */
    private boolean saturated;

    private long otherWorkNanos;
    private long nanosPerStart;
    private long ownWorkNanos;

    /**
     * A request that must wait while the host is late.
     *
     * @param rank its urgency; 0 is the most urgent
     * @param readNanos when it was read
     * @param endNanos when its time is over
     * @param waitLimitNanos the maximum wait until it is served or refused, in nanoseconds
     */
    record Arrival<T>(T request, int rank, long readNanos, long endNanos, long waitLimitNanos) {}

    /** A decision on a request. */
    sealed interface Action<T> {}

    /** The request is to be served now. */
    record Serve<T>(T request) implements Action<T> {}

    /**
     * The request is to be refused; it did not run.
     *
     * @param retryAfterMillis when its caller is to retry, in milliseconds; 0 if its time is over
     */
    record Refuse<T>(T request, long retryAfterMillis) implements Action<T> {}

    private record Waiting<T>(Arrival<T> arrival, long number) {}

    /**
     * Creates a shedder without waiting requests.
     *
     * @param spread the start of the sequence that spreads retries, from [0, 1); differs between
     *     hosts
     */
    LoadShedder(double spread) {
        this.spread = spread;
    }

    /** Returns whether a new request must wait here: the loop is late, or others wait. */
    boolean mustWait(boolean late) {
        return late || !queue.isEmpty();
    }

    /** Returns the number of requests that wait. */
    int waiting() {
        return queue.size();
    }

    /** Returns the number of requests refused so far. */
    long refused() {
        return refused;
    }

    /** Adds a request. */
    void arrive(Arrival<T> arrival) {
        Waiting<T> added = new Waiting<>(arrival, arrivals++);
        queue.add(added);
        byRequest.put(arrival.request(), added);
    }

    /** Removes a request, whose caller disconnected. */
    void withdraw(T request) {
        Waiting<T> removed = byRequest.remove(request);
        if (removed != null) {
            queue.remove(removed);
        }
    }

    /**
     * Begins a round after a poll.
     *
     * @param lagNanos how long the poll was delayed by the loop's work since the poll before, in
     *     nanoseconds
     * @param begun the number of requests that are served and have not ended
     */
    void beginRound(long nowNanos, long lagNanos, int begun) {
        saturated &= nowNanos - roundNanos <= 2 * lagNanos + ROUND_NANOS;
        long otherNanos = Math.max(0, lagNanos - ownWorkNanos);
        long usualOtherNanos = saturated ? Math.min(otherWorkNanos, otherNanos) : 0;
        nanosPerStart =
                saturated && servedInRound > 0 ? (nowNanos - roundNanos) / servedInRound : 0;
        otherWorkNanos = otherNanos;
        // Requests that are served already take longer for each poll than a new one may wait.
        mayServe = begun == 0 || queue.isEmpty() || usualOtherNanos <= longestWaitNanos();
        roundNanos = nowNanos;
        servedInRound = 0;
        refusalsChosen = false;
    }

    private long longestWaitNanos() {
        return queue.stream()
                .mapToLong(waiting -> waiting.arrival.waitLimitNanos())
                .max()
                .orElse(Long.MAX_VALUE);
    }

    /** Returns the next action of the round; empty if the round is over. */
    Optional<Action<T>> next(long nowNanos) {
        boolean timeLeft = servedInRound == 0 || nowNanos - roundNanos < ROUND_NANOS;
        if (!refusalsChosen && mayServe && timeLeft && !queue.isEmpty()) {
            Waiting<T> best = queue.first();
            withdraw(best.arrival.request());
            if (nowNanos >= best.arrival.endNanos()) {
                return Optional.of(refuse(best.arrival, nowNanos));
            }
            servedInRound++;
            return Optional.of(new Serve<>(best.arrival.request()));
        }
        if (!refusalsChosen) {
            refusalsChosen = true;
            chooseRefusals(nowNanos);
        }
        if (refusals.isEmpty()) {
            saturated = !queue.isEmpty() || !mayServe;
            ownWorkNanos = nowNanos - roundNanos;
            return Optional.empty();
        }
        return Optional.of(refusals.poll());
    }

    private void chooseRefusals(long nowNanos) {
        long startNanos = saturated ? startNanos(nowNanos) : 0;
        long aheadNanos = 0;
        List<Arrival<T>> hopeless = new ArrayList<>();
        for (Waiting<T> waiting : queue) {
            Arrival<T> arrival = waiting.arrival;
            long waitNanos = nowNanos - arrival.readNanos() + aheadNanos;
            boolean tooLong = saturated && waitNanos > arrival.waitLimitNanos();
            if (tooLong || !mayServe || nowNanos >= arrival.endNanos()) {
                hopeless.add(arrival);
            } else {
                aheadNanos += startNanos;
            }
        }
        for (Arrival<T> arrival : hopeless) {
            withdraw(arrival.request());
            refusals.add(refuse(arrival, nowNanos));
        }
    }

    /** Returns the time for each served request, in the better of the last two rounds. */
    private long startNanos(long nowNanos) {
        if (servedInRound == 0) {
            return nanosPerStart;
        }
        return Math.min(nanosPerStart, (otherWorkNanos + nowNanos - roundNanos) / servedInRound);
    }

    private Refuse<T> refuse(Arrival<T> arrival, long nowNanos) {
        refused++;
        spread = (spread + SPREAD_STEP) % 1;
        long leftMillis = Math.max(0, arrival.endNanos() - nowNanos) / NANOS_PER_MILLI;
        double maxMillis = MAX_RETRY_FRACTION * leftMillis;
        double minMillis = Math.min(MIN_RETRY_MILLIS, maxMillis);
        return new Refuse<>(
                arrival.request(), (long) (minMillis + spread * (maxMillis - minMillis)));
    }
}
