package org.orioleshed.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.orioleshed.fleet.VersionSplit;
import org.orioleshed.model.Fingerprint;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.VersionId;

/**
 * Simulates one rollout on three hosts in three failure domains. Results of runs are drawn from
 * fixed distributions, without queues and engines: 50 requests per second for ten minutes on three
 * routes with 50%, 30% and 20% of the requests; 30% of the requests meet a server under load.
 */
final class RolloutSimulation {
    static final long DURATION_MILLIS = 600_000;
    private static final int REQUESTS_PER_SECOND = 50;
    private static final long STEP_MILLIS = 500;
    private static final double HIGH_LOAD_FRACTION = 0.3;
    private static final double SIGMA = 0.4;
    private static final double COLD_FACTOR = 3;
    private static final int COLD_RUNS = 3;
    private static final List<RouteId> ROUTES = FakeFleet.routes(3);

    /** When and where a version's fault occurs. */
    enum Fault {
        NONE,
        AT_ONCE,
        LATER,
        UNDER_LOAD,
        ONE_ROUTE
    }

    /** The result of one simulated rollout. */
    record Result(
            Fault fault,
            boolean slow,
            double faultSize,
            RolloutState outcome,
            long requests,
            long newRequests,
            long badRequests,
            long naiveBadRequests,
            long lateRequests,
            int outcomes,
            String reason) {}

    private final SplittableRandom random;
    private final Fault fault;
    private final boolean slow;
    private final double faultSize;
    private final double onsetProgress;
    private final RouteId badRoute;
    private final double baseFailures;
    private final double incidentProgress;
    private final FakeFleet fleet;
    private final List<FakeFleet.Host> hosts;
    private final int[] newRunsByHost;
    private long requests;
    private long newRequests;
    private long badRequests;
    private long naiveBadRequests;
    private long lateRequests;
    private long firstTripNanos = Long.MAX_VALUE;

    RolloutSimulation(long seed, Fault fault) {
        random = new SplittableRandom(seed);
        this.fault = fault;
        slow = random.nextBoolean();
        faultSize = slow ? random.nextDouble(1.8, 5) : random.nextDouble(0.2, 1);
        onsetProgress = fault == Fault.LATER ? random.nextDouble(0.05, 0.5) : 0;
        badRoute = ROUTES.get(random.nextInt(ROUTES.size()));
        baseFailures = random.nextDouble(0, 0.02);
        incidentProgress = random.nextDouble() < 0.3 ? random.nextDouble(0.1, 0.8) : 2;
        fleet = new FakeFleet(random, RolloutLimits.DEFAULT, 3, 1);
        hosts = new ArrayList<>(fleet.hosts.values());
        newRunsByHost = new int[hosts.size()];
    }

    Result run() {
        fleet.plan(FakeFleet.ROLLOUT, ROUTES, DURATION_MILLIS);
        int perStep = (int) (REQUESTS_PER_SECOND * STEP_MILLIS / 1_000);
        long passedMillis = 0;
        while (passedMillis < DURATION_MILLIS && !isDecided()) {
            for (int i = 0; i < perStep; i++) {
                request((double) passedMillis / DURATION_MILLIS);
            }
            recordTrip();
            fleet.step(STEP_MILLIS);
            passedMillis += STEP_MILLIS;
        }
        RolloutRecord record = fleet.store.record(FakeFleet.ROLLOUT);
        for (; passedMillis < DURATION_MILLIS; passedMillis += STEP_MILLIS) {
            countNaive((double) passedMillis / DURATION_MILLIS, perStep);
        }
        return new Result(
                fault,
                slow,
                faultSize,
                record.state(),
                requests,
                newRequests,
                badRequests,
                naiveBadRequests,
                lateRequests,
                fleet.store.outcomes.getOrDefault(RolloutRecord.key(FakeFleet.ROLLOUT), 0),
                record.reason());
    }

    private void recordTrip() {
        boolean tripped = hosts.stream().anyMatch(h -> h.hasNotice(RolloutAction.Notice.Kind.FUSE));
        if (tripped) {
            firstTripNanos = Math.min(firstTripNanos, fleet.nowNanos);
        }
    }

    private boolean isDecided() {
        return fleet.store.record(FakeFleet.ROLLOUT).state().isOutcome();
    }

    private void countNaive(double progress, int count) {
        for (int i = 0; i < count; i++) {
            if (random.nextDouble() < NaiveRollout.share(progress)) {
                countNaive(progress, route(), random.nextDouble() < HIGH_LOAD_FRACTION);
            }
        }
    }

    private void countNaive(double progress, RouteId route, boolean high) {
        if (isFaulty(progress, route, high)) {
            naiveBadRequests++;
        }
    }

    private RouteId route() {
        double draw = random.nextDouble();
        return ROUTES.get(draw < 0.5 ? 0 : draw < 0.8 ? 1 : 2);
    }

    private boolean isFaulty(double progress, RouteId route, boolean high) {
        return switch (fault) {
            case NONE -> false;
            case AT_ONCE -> true;
            case LATER -> progress >= onsetProgress;
            case UNDER_LOAD -> high;
            case ONE_ROUTE -> route.equals(badRoute);
        };
    }

    private void request(double progress) {
        int index = random.nextInt(hosts.size());
        FakeFleet.Host host = hosts.get(index);
        RouteId route = route();
        boolean high = random.nextDouble() < HIGH_LOAD_FRACTION;
        VersionSplit split = host.split.splits().get(route);
        VersionId version = split == null ? FakeFleet.OLD : split.choose(random.nextDouble());
        boolean onNew = version.equals(FakeFleet.NEW);
        requests++;
        if (onNew) {
            newRequests++;
            newRunsByHost[index]++;
            if (fleet.nowNanos - firstTripNanos > 1_000 * RolloutCore.NANOS_PER_MILLI) {
                lateRequests++;
            }
        }
        if (random.nextDouble() < NaiveRollout.share(progress)) {
            countNaive(progress, route, high);
        }
        boolean faulty = onNew && isFaulty(progress, route, high);
        if (faulty) {
            badRequests++;
        }
        boolean cold = onNew && newRunsByHost[index] <= COLD_RUNS;
        fleet.observe(host, route, version, result(progress, high, faulty, cold));
    }

    private RunResult result(double progress, boolean high, boolean faulty, boolean cold) {
        boolean incident = progress >= incidentProgress && progress < incidentProgress + 0.05;
        double failures = baseFailures + (incident ? 0.2 : 0) + (faulty && !slow ? faultSize : 0);
        int tokens = 20 + (int) Math.exp(random.nextDouble(0, 6));
        double perToken = 20 * (high ? 1.6 : 1) * (faulty && slow ? faultSize : 1);
        double noise = Math.exp(random.nextGaussian() * SIGMA);
        long millis = (long) (tokens * perToken * noise * (cold ? COLD_FACTOR : 1));
        RunResult.Verdict verdict =
                random.nextDouble() < failures ? RunResult.Verdict.FAILED : RunResult.Verdict.OK;
        Fingerprint content = new Fingerprint(random.nextLong(), random.nextLong());
        return new RunResult(verdict, millis, tokens, 0, 0, high ? 0.9 : 0.3, content);
    }
}
