package org.orioleshed.trial;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BiFunction;

/** Plays a load pattern against one policy, in simulated time; the same for the same seed. */
final class PolicyTrial implements Policy.Floor, ModelEngine.Listener {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long TICK_NANOS = 20 * ModelEngine.NANOS_PER_MILLI;

    /** A caller that is turned away comes back so often. */
    private static final int RETRIES = 1;

    /** What a message between hosts and engines takes, one way. */
    private static final long WAY_NANOS = ModelEngine.NANOS_PER_MILLI / 2;

    private final LoadPattern pattern;
    private final List<ModelEngine> engines = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::order));
    private final List<TrialRequest> requests = new ArrayList<>();
    private final int[] underWay;
    private final Policy policy;
    private long nowNanos;
    private long order;

    private record Event(long atNanos, long order, Runnable action) {}

    /**
     * Makes one.
     *
     * @param speeds the engines' speeds against the usual one
     * @param maker makes the policy
     */
    PolicyTrial(
            LoadPattern pattern,
            ModelEngine.Spec spec,
            double[] speeds,
            long seed,
            BiFunction<Policy.Floor, SplittableRandom, Policy> maker) {
        this.pattern = pattern;
        this.underWay = new int[speeds.length];
        SplittableRandom random = new SplittableRandom(seed);
        double speed = 0;
        for (double one : speeds) {
            engines.add(new ModelEngine(spec.withSpeed(one), this));
            speed += one;
        }
        policy = maker.apply(this, random.split());
        plan(speed, random);
        planSlowness();
        long end = (long) ((LoadPattern.SECONDS + 12) * NANOS_PER_SECOND);
        for (long at = 0; at < end; at += TICK_NANOS) {
            schedule(at, () -> policy.tick(nowNanos));
        }
    }

    private void plan(double speed, SplittableRandom random) {
        for (RequestKind kind : LoadPattern.KINDS) {
            double most = pattern.rate(kind, pattern.burstEverySeconds - 0.001, speed);
            most = Math.max(most, pattern.rate(kind, 0, speed));
            double at = 0;
            while (at < LoadPattern.SECONDS) {
                at += -Math.log(1 - random.nextDouble()) / most;
                boolean kept = random.nextDouble() < pattern.rate(kind, at, speed) / most;
                if (kept && at < LoadPattern.SECONDS) {
                    arrive(kind, (long) (at * NANOS_PER_SECOND));
                }
            }
        }
    }

    private void arrive(RequestKind kind, long atNanos) {
        TrialRequest request = new TrialRequest(requests.size(), kind, atNanos);
        requests.add(request);
        schedule(atNanos, () -> policy.came(request, nowNanos));
        schedule(request.endNanos(), () -> leave(request));
    }

    private void planSlowness() {
        int slow = (int) (engines.size() * pattern.slowPart);
        for (double at = 0; at < LoadPattern.SECONDS; at += pattern.burstEverySeconds) {
            double begin = at + pattern.burstEverySeconds - pattern.burstSeconds;
            for (ModelEngine engine : engines.subList(0, slow)) {
                schedule(
                        (long) (begin * NANOS_PER_SECOND), () -> engine.slowness(pattern.slowness));
                schedule(
                        (long) ((at + pattern.burstEverySeconds) * NANOS_PER_SECOND),
                        () -> engine.slowness(1));
            }
        }
    }

    private void schedule(long atNanos, Runnable action) {
        events.add(new Event(atNanos, order++, action));
    }

    /** Plays all of it and returns what callers got. */
    List<TrialRequest> play() {
        for (Event next = events.poll(); next != null; next = events.poll()) {
            nowNanos = next.atNanos();
            next.action().run();
        }
        return requests;
    }

    @Override
    public void send(TrialRequest request, int number) {
        request.engine = number;
        request.sentNanos = nowNanos;
        underWay[number]++;
        schedule(nowNanos + WAY_NANOS, () -> submit(request, number));
    }

    private void submit(TrialRequest request, int number) {
        underWay[number]--;
        ModelEngine engine = engines.get(number);
        if (!request.isOver() && engine.submit(request)) {
            begin(engine);
        }
    }

    private void begin(ModelEngine engine) {
        long stepNanos = engine.begin();
        if (stepNanos > 0) {
            schedule(
                    nowNanos + stepNanos,
                    () -> {
                        engine.end();
                        begin(engine);
                    });
        }
    }

    @Override
    public void event(TrialRequest request, int count) {
        if (request.firstNanos == 0) {
            request.firstNanos = nowNanos + WAY_NANOS;
            schedule(request.firstNanos, () -> policy.first(request, nowNanos));
        }
    }

    @Override
    public void ended(TrialRequest request, int count) {
        event(request, count);
        schedule(
                nowNanos + WAY_NANOS,
                () -> {
                    request.done = nowNanos <= request.endNanos();
                    policy.ended(request, count, nowNanos);
                });
    }

    private void leave(TrialRequest request) {
        if (request.isOver()) {
            return;
        }
        request.gaveUpNanos = nowNanos;
        if (request.engine >= 0) {
            engines.get(request.engine).cancel(request);
        }
        policy.left(request, nowNanos);
    }

    @Override
    public void refuse(TrialRequest request, long retryAfterMillis) {
        long backNanos = nowNanos + retryAfterMillis * ModelEngine.NANOS_PER_MILLI;
        if (request.attempts >= RETRIES || backNanos >= request.endNanos()) {
            request.gaveUpNanos = nowNanos;
            return;
        }
        request.attempts++;
        schedule(backNanos, () -> policy.came(request, nowNanos));
    }

    @Override
    public int load(int engine) {
        return engines.get(engine).load() + underWay[engine];
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
