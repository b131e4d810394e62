package org.orioleshed.trial;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BiFunction;

/** Simulates one policy under a load pattern. The same seed gives the same result. */
final class PolicyTrial implements TrialPolicy.Context, SimulatedEngine.Listener {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long TICK_INTERVAL_NANOS = 20 * SimulatedEngine.NANOS_PER_MILLI;

    /** The number of times that a caller retries a refused request. */
    private static final int MAX_RETRIES = 1;

    /** The one-way delay of a message between a host and an engine. */
    private static final long ONE_WAY_DELAY_NANOS = SimulatedEngine.NANOS_PER_MILLI / 2;

    private final LoadPattern pattern;
    private final List<SimulatedEngine> engines = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
    private final List<TrialRequest> requests = new ArrayList<>();
    private final int[] inFlight;
    private final TrialPolicy policy;
    private long nowNanos;
    private long nextSequence;

    private record Event(long atNanos, long sequence, Runnable action) {}

    /**
     * Creates a trial.
     *
     * @param speeds the speed of each engine, as a factor of the speed in {@code spec}
     * @param policyFactory creates the policy
     */
    PolicyTrial(
            LoadPattern pattern,
            SimulatedEngine.Spec spec,
            double[] speeds,
            long seed,
            BiFunction<TrialPolicy.Context, SplittableRandom, TrialPolicy> policyFactory) {
        this.pattern = pattern;
        this.inFlight = new int[speeds.length];
        SplittableRandom random = new SplittableRandom(seed);
        double totalSpeed = 0;
        for (double speed : speeds) {
            engines.add(new SimulatedEngine(spec.withSpeed(speed), this));
            totalSpeed += speed;
        }
        policy = policyFactory.apply(this, random.split());
        scheduleArrivals(totalSpeed, random);
        scheduleSlowdowns();
        long endNanos = (long) ((LoadPattern.DURATION_SECONDS + 12) * NANOS_PER_SECOND);
        for (long atNanos = 0; atNanos < endNanos; atNanos += TICK_INTERVAL_NANOS) {
            schedule(atNanos, () -> policy.onTick(nowNanos));
        }
    }

    private void scheduleArrivals(double totalSpeed, SplittableRandom random) {
        for (RequestKind kind : LoadPattern.KINDS) {
            double peakRate = pattern.rate(kind, pattern.burstPeriodSeconds - 0.001, totalSpeed);
            peakRate = Math.max(peakRate, pattern.rate(kind, 0, totalSpeed));
            double atSeconds = 0;
            while (atSeconds < LoadPattern.DURATION_SECONDS) {
                atSeconds += -Math.log(1 - random.nextDouble()) / peakRate;
                boolean accepted =
                        random.nextDouble() < pattern.rate(kind, atSeconds, totalSpeed) / peakRate;
                if (accepted && atSeconds < LoadPattern.DURATION_SECONDS) {
                    scheduleArrival(kind, (long) (atSeconds * NANOS_PER_SECOND));
                }
            }
        }
    }

    private void scheduleArrival(RequestKind kind, long atNanos) {
        TrialRequest request = new TrialRequest(requests.size(), kind, atNanos);
        requests.add(request);
        schedule(atNanos, () -> policy.onArrival(request, nowNanos));
        schedule(request.deadlineNanos(), () -> onDeadline(request));
    }

    private void scheduleSlowdowns() {
        int slowEngines = (int) (engines.size() * pattern.slowShare);
        for (double atSeconds = 0;
                atSeconds < LoadPattern.DURATION_SECONDS;
                atSeconds += pattern.burstPeriodSeconds) {
            double startSeconds = atSeconds + pattern.burstPeriodSeconds - pattern.burstSeconds;
            for (SimulatedEngine engine : engines.subList(0, slowEngines)) {
                schedule(
                        (long) (startSeconds * NANOS_PER_SECOND),
                        () -> engine.setSlowdown(pattern.slowdown));
                schedule(
                        (long) ((atSeconds + pattern.burstPeriodSeconds) * NANOS_PER_SECOND),
                        () -> engine.setSlowdown(1));
            }
        }
    }

    private void schedule(long atNanos, Runnable action) {
        events.add(new Event(atNanos, nextSequence++, action));
    }

    /** Runs the simulation to its end and returns all requests. */
    List<TrialRequest> run() {
        for (Event event = events.poll(); event != null; event = events.poll()) {
            nowNanos = event.atNanos();
            event.action().run();
        }
        return requests;
    }

    @Override
    public void send(TrialRequest request, int number) {
        request.engine = number;
        request.sentNanos = nowNanos;
        inFlight[number]++;
        schedule(nowNanos + ONE_WAY_DELAY_NANOS, () -> submit(request, number));
    }

    private void submit(TrialRequest request, int number) {
        inFlight[number]--;
        SimulatedEngine engine = engines.get(number);
        if (!request.isEnded() && engine.submit(request)) {
            beginStep(engine);
        }
    }

    private void beginStep(SimulatedEngine engine) {
        long stepNanos = engine.beginStep();
        if (stepNanos > 0) {
            schedule(
                    nowNanos + stepNanos,
                    () -> {
                        engine.endStep();
                        beginStep(engine);
                    });
        }
    }

    @Override
    public void onEvent(TrialRequest request, int count) {
        if (request.firstEventNanos == 0) {
            request.firstEventNanos = nowNanos + ONE_WAY_DELAY_NANOS;
            schedule(request.firstEventNanos, () -> policy.onFirstEvent(request, nowNanos));
        }
    }

    @Override
    public void onCompleted(TrialRequest request, int count) {
        onEvent(request, count);
        schedule(
                nowNanos + ONE_WAY_DELAY_NANOS,
                () -> {
                    request.completed = nowNanos <= request.deadlineNanos();
                    policy.onCompleted(request, count, nowNanos);
                });
    }

    private void onDeadline(TrialRequest request) {
        if (request.isEnded()) {
            return;
        }
        request.abandonedNanos = nowNanos;
        if (request.engine >= 0) {
            engines.get(request.engine).cancel(request);
        }
        policy.onCallerLeft(request, nowNanos);
    }

    @Override
    public void refuse(TrialRequest request, long retryAfterMillis) {
        long retryNanos = nowNanos + retryAfterMillis * SimulatedEngine.NANOS_PER_MILLI;
        if (request.retries >= MAX_RETRIES || retryNanos >= request.deadlineNanos()) {
            request.abandonedNanos = nowNanos;
            return;
        }
        request.retries++;
        schedule(retryNanos, () -> policy.onArrival(request, nowNanos));
    }

    @Override
    public int load(int engine) {
        return engines.get(engine).load() + inFlight[engine];
    }

    @Override
    public int engines() {
        return engines.size();
    }

    @Override
    public int slots() {
        return engines.getFirst().slots();
    }
}
