package org.orioleshed.dispatch;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.SplittableRandom;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.catalog.RolloutOrder;
import org.orioleshed.catalog.RolloutOutcome;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.ServiceId;
import org.orioleshed.model.VersionId;

/** A rollout under seeded traffic; answers come as late as their servers are slow. */
final class RolloutTrial {
    static final long DURATION_MILLIS = 12_000;
    static final List<RouteId> ROUTES =
            List.of(new RouteId("drafts"), new RouteId("replies"), new RouteId("digests"));

    private static final VersionId OLD = new VersionId("v1");
    private static final VersionId NEW = new VersionId("v2");
    private static final int SERVERS = 12;
    private static final int REQUESTS_A_SECOND = 150;
    private static final double USUAL_MILLIS = 80;
    private static final double ANSWERS_DIFFER = 0.5;
    private static final double COLD_SLOWNESS = 3;
    private static final double SERVERS_DIFFER = 0.45;

    final VersionRollout rollout =
            new VersionRollout(
                    new RolloutOrder(new ServiceId("s"), NEW, DURATION_MILLIS, 1),
                    RolloutPolicy.DEFAULT,
                    0);
    int sentNew;
    int sentOld;
    long decidedMillis = Long.MAX_VALUE;
    int oldRunsThatStay;
    private final Load load;
    private final SplittableRandom random;
    private final double[] newSpeeds = new double[SERVERS];
    private final double[] oldSpeeds = new double[SERVERS];
    private final List<Run> runs = new ArrayList<>();

    /**
     * How the versions differ.
     *
     * @param newFaults the part of its requests that the new version fails
     * @param oldFaults the same of the old one
     * @param slowness how many times slower the new version is
     * @param slowPart the part of its requests that is slower
     * @param oneRoute whether all that is on one route only
     * @param unlike whether servers differ in speed, about fivefold
     * @param coldMillis how long new servers are three times as slow after they begin
     * @param onlyUnderLoad whether all that shows only where it gets a fifth of the requests or
     *     more
     */
    record Load(
            double newFaults,
            double oldFaults,
            double slowness,
            double slowPart,
            boolean oneRoute,
            boolean unlike,
            boolean onlyUnderLoad,
            long coldMillis) {
        static final Load USUAL = new Load(0.002, 0.002, 1, 1, false, false, false, 0);

        Load newFaults(double part) {
            return new Load(
                    part,
                    oldFaults,
                    slowness,
                    slowPart,
                    oneRoute,
                    unlike,
                    onlyUnderLoad,
                    coldMillis);
        }

        Load oldFaults(double part) {
            return new Load(
                    newFaults,
                    part,
                    slowness,
                    slowPart,
                    oneRoute,
                    unlike,
                    onlyUnderLoad,
                    coldMillis);
        }

        Load slower(double times) {
            return new Load(
                    newFaults,
                    oldFaults,
                    times,
                    slowPart,
                    oneRoute,
                    unlike,
                    onlyUnderLoad,
                    coldMillis);
        }

        Load slowPart(double part) {
            return new Load(
                    newFaults,
                    oldFaults,
                    slowness,
                    part,
                    oneRoute,
                    unlike,
                    onlyUnderLoad,
                    coldMillis);
        }

        Load onOneRoute() {
            return new Load(
                    newFaults,
                    oldFaults,
                    slowness,
                    slowPart,
                    true,
                    unlike,
                    onlyUnderLoad,
                    coldMillis);
        }

        Load unlikeServers() {
            return new Load(
                    newFaults,
                    oldFaults,
                    slowness,
                    slowPart,
                    oneRoute,
                    true,
                    onlyUnderLoad,
                    coldMillis);
        }

        Load coldFor(long millis) {
            return new Load(
                    newFaults,
                    oldFaults,
                    slowness,
                    slowPart,
                    oneRoute,
                    unlike,
                    onlyUnderLoad,
                    millis);
        }

        Load underLoad() {
            return new Load(
                    newFaults, oldFaults, slowness, slowPart, oneRoute, unlike, true, coldMillis);
        }
    }

    private record Run(
            PoolServer server, RouteId route, double slowness, boolean fault, long sentMillis) {
        double endMillis() {
            return sentMillis + USUAL_MILLIS * slowness;
        }
    }

    RolloutTrial(Load load, long seed) {
        this.load = load;
        this.random = new SplittableRandom(seed);
        for (int i = 0; i < SERVERS; i++) {
            newSpeeds[i] = load.unlike ? Math.exp(SERVERS_DIFFER * gauss()) : 1;
            oldSpeeds[i] = load.unlike ? Math.exp(SERVERS_DIFFER * gauss()) : 1;
        }
    }

    private double gauss() {
        return random.nextGaussian();
    }

    static PoolServer server(boolean isNew, int number) {
        return new PoolServer(
                new ServerId((isNew ? "n" : "o") + number),
                new ServiceId("s"),
                new InetSocketAddress("10.0.1.1", 80),
                new FailureDomain("d"),
                isNew ? NEW : OLD,
                8,
                false,
                1);
    }

    RolloutTrial play() {
        return playUntil(DURATION_MILLIS);
    }

    RolloutTrial playUntil(long millis) {
        return playFrom(0, millis);
    }

    RolloutTrial playFrom(long fromMillis, long untilMillis) {
        long first = fromMillis * REQUESTS_A_SECOND / 1_000;
        long last = untilMillis * REQUESTS_A_SECOND / 1_000;
        for (long i = first; i < last; i++) {
            long nowMillis = i * 1_000 / REQUESTS_A_SECOND;
            endRuns(nowMillis);
            send(nowMillis);
            decide(nowMillis);
        }
        return this;
    }

    private void send(long nowMillis) {
        boolean isNew = rollout.nextIsNew();
        int number = random.nextInt(SERVERS);
        RouteId route = ROUTES.get(random.nextInt(ROUTES.size()));
        double speed = isNew ? newSpeeds[number] : oldSpeeds[number];
        boolean worse = isNew && isWorse(route);
        double slower = worse && random.nextDouble() < load.slowPart ? load.slowness : 1;
        double faults = worse ? load.newFaults : load.oldFaults;
        double cold = isNew && nowMillis < load.coldMillis ? COLD_SLOWNESS : 1;
        double slowness = speed * slower * cold * Math.exp(ANSWERS_DIFFER * gauss());
        PoolServer server = server(isNew, number);
        sentNew += isNew ? 1 : 0;
        sentOld += isNew ? 0 : 1;
        rollout.sent(server, route);
        runs.add(new Run(server, route, slowness, random.nextDouble() < faults, nowMillis));
    }

    private boolean isWorse(RouteId route) {
        boolean concerned = !load.oneRoute || route.equals(ROUTES.getFirst());
        return concerned && (!load.onlyUnderLoad || rollout.step() >= 0);
    }

    private void endRuns(long nowMillis) {
        for (Iterator<Run> all = runs.iterator(); all.hasNext(); ) {
            Run run = all.next();
            if (run.endMillis() <= nowMillis) {
                all.remove();
                end(run);
            }
        }
    }

    private void end(Run run) {
        if (run.fault) {
            rollout.ended(run.server, run.route, RunReport.Outcome.FAILED);
            return;
        }
        rollout.took(run.server, run.route, run.slowness);
        rollout.ended(run.server, run.route, RunReport.Outcome.ANSWERED);
    }

    private void decide(long nowMillis) {
        rollout.nobodyWaits();
        int oldRuns = oldRunsThatStay;
        for (Run run : runs) {
            oldRuns += rollout.isTarget(run.server.version()) ? 0 : 1;
            double waited = (nowMillis - run.sentMillis) / USUAL_MILLIS;
            if (waited > 2) {
                rollout.waits(run.server, run.route, waited);
            }
        }
        rollout.decide(nowMillis * 1_000_000, oldRuns, true);
        if (decidedMillis == Long.MAX_VALUE && rollout.outcome() != RolloutOutcome.RUNNING) {
            decidedMillis = nowMillis;
        }
    }
}
