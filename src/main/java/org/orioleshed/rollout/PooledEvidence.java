package org.orioleshed.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.model.RouteId;

/** What all reachable hosts have seen of a rollout's two versions, merged by maximum. */
final class PooledEvidence {
    /** From so many runs of the old version on, a domain's new runs must have been seen too. */
    private static final long BUSY_RUNS = 200;

    private static final long BUSY_NEW_RUNS = 3;

    /** The part of the old version's runs from which on a load band counts. */
    private static final double BAND_PART = 0.1;

    /** The old version's runs that must be known before load bands are judged. */
    private static final long BAND_RUNS = 50;

    private final RolloutRecord rollout;
    private final RolloutLimits limits;
    private final Map<HostId, Source> sources = new HashMap<>();
    private final Map<Cell, VersionTest> tests = new HashMap<>();
    private final Map<Place, Runs> places = new HashMap<>();

    PooledEvidence(RolloutRecord rollout, RolloutLimits limits) {
        this.rollout = rollout;
        this.limits = limits;
    }

    /** Takes in one host's counters; repeated and older ones change nothing. */
    void merge(
            long nowNanos,
            HostId host,
            FailureDomain domain,
            long incarnation,
            Map<RolloutMessage.Key, Tally> tallies) {
        Source source = sources.get(host);
        if (source == null || source.incarnation < incarnation) {
            source = new Source(incarnation, domain);
            sources.put(host, source);
        }
        if (source.incarnation > incarnation) {
            return;
        }
        source.heardNanos = nowNanos;
        Map<RolloutMessage.Key, Tally> newer = new HashMap<>();
        for (Map.Entry<RolloutMessage.Key, Tally> entry : tallies.entrySet()) {
            RolloutMessage.Key key = entry.getKey();
            Tally before = source.tallies.getOrDefault(key, Tally.NONE);
            if (before.equals(entry.getValue()) || !rollout.routes().contains(key.route())) {
                continue;
            }
            Tally after = before.max(entry.getValue());
            if (after.equals(before)) {
                continue;
            }
            source.tallies.put(key, after);
            newer.put(key, after.since(before));
        }
        // The old version first: it is what the new one is held to.
        newer.forEach((key, more) -> countOld(domain, key, more));
        newer.forEach((key, more) -> countNew(domain, key, more));
    }

    private void countOld(FailureDomain domain, RolloutMessage.Key key, Tally more) {
        if (key.version().equals(rollout.from())) {
            test(key).addOld(more);
            place(domain, key).ofOld += more.runs();
        }
    }

    private void countNew(FailureDomain domain, RolloutMessage.Key key, Tally more) {
        if (key.version().equals(rollout.to())) {
            test(key).addNew(more);
            place(domain, key).ofNew += more.runs();
        }
    }

    private VersionTest test(RolloutMessage.Key key) {
        return tests.computeIfAbsent(
                new Cell(key.route(), key.band()), cell -> new VersionTest(limits));
    }

    private Runs place(FailureDomain domain, RolloutMessage.Key key) {
        return places.computeIfAbsent(new Place(domain, key.route()), place -> new Runs());
    }

    /** Returns the strongest evidence against the new version. */
    double alarm() {
        double strongest = 0;
        for (VersionTest test : tests.values()) {
            strongest = Math.max(strongest, test.alarm());
        }
        return strongest;
    }

    /** Returns the evidence for the new version over all routes together. */
    double proofOverall() {
        double failures = 0;
        double slowness = 0;
        for (VersionTest test : tests.values()) {
            failures += test.failureProof();
            slowness += test.slownessProof();
        }
        return -Math.max(failures, slowness);
    }

    /** Returns the evidence for the new version on the route that has least of it. */
    double proofOfEachRoute() {
        double least = Double.POSITIVE_INFINITY;
        for (RouteId route : rollout.routes()) {
            least = Math.min(least, proof(route));
        }
        return least;
    }

    private double proof(RouteId route) {
        double failures = 0;
        double slowness = 0;
        for (LoadBand band : LoadBand.values()) {
            VersionTest test = tests.get(new Cell(route, band));
            if (test != null) {
                failures += test.failureProof();
                slowness += test.slownessProof();
            }
        }
        return -Math.max(failures, slowness);
    }

    /**
     * Returns whether the new version lacks proof under load while the old one is often under load.
     * Routes count together here, for load is the servers'; alarms stay apart by route.
     */
    boolean lacksProofUnderLoad(double level) {
        long all = 0;
        long high = 0;
        double failures = 0;
        double slowness = 0;
        for (Map.Entry<Cell, VersionTest> entry : tests.entrySet()) {
            VersionTest test = entry.getValue();
            all += test.oldRuns();
            if (entry.getKey().band() == LoadBand.HIGH) {
                high += test.oldRuns();
                failures += test.failureProof();
                slowness += test.slownessProof();
            }
        }
        boolean often = all >= BAND_RUNS && high >= BAND_PART * all;
        return often && -Math.max(failures, slowness) < level;
    }

    /** Returns whether a domain that is busy has hardly run the new version. */
    boolean lacksRunsInBusyDomain() {
        for (Runs runs : places.values()) {
            if (runs.ofOld >= BUSY_RUNS && runs.ofNew < BUSY_NEW_RUNS) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether each of {@code domains} has a host heard of lately. */
    boolean isFresh(long nowNanos, Collection<FailureDomain> domains) {
        long freshNanos = limits.freshMillis() * RolloutCore.NANOS_PER_MILLI;
        for (FailureDomain domain : domains) {
            boolean heard =
                    sources.values().stream()
                            .anyMatch(
                                    source ->
                                            source.domain.equals(domain)
                                                    && nowNanos - source.heardNanos <= freshNanos);
            if (!heard) {
                return false;
            }
        }
        return true;
    }

    /** Starts the proof anew, as for a new step. Alarms go on. */
    void restartProof() {
        tests.values().forEach(VersionTest::restartProof);
        places.clear();
    }

    /** Returns the runs of the new version that all reachable hosts have counted. */
    long newRuns() {
        long runs = 0;
        for (Source source : sources.values()) {
            for (Map.Entry<RolloutMessage.Key, Tally> entry : source.tallies.entrySet()) {
                if (entry.getKey().version().equals(rollout.to())) {
                    runs += entry.getValue().runs();
                }
            }
        }
        return runs;
    }

    private record Place(FailureDomain domain, RouteId route) {}

    private static final class Runs {
        long ofOld;
        long ofNew;
    }

    private static final class Source {
        final long incarnation;
        final FailureDomain domain;
        final Map<RolloutMessage.Key, Tally> tallies = new HashMap<>();
        long heardNanos;

        Source(long incarnation, FailureDomain domain) {
            this.incarnation = incarnation;
            this.domain = domain;
        }
    }
}
