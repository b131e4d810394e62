package org.orioleshed.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.model.RouteId;

/**
 * Evidence on a rollout's two versions from all reachable hosts. Counters are merged by maximum.
 */
final class PooledEvidence {
    /**
     * Number of runs of the old version from which on a domain must have runs of the new version
     * too.
     */
    private static final long BUSY_DOMAIN_RUNS = 200;

    private static final long MIN_NEW_RUNS_IN_BUSY_DOMAIN = 3;

    /**
     * The least fraction of the old version's runs under high load that makes evidence under load
     * required.
     */
    private static final double MIN_HIGH_LOAD_FRACTION = 0.1;

    /** The least number of the old version's runs that makes evidence under load required. */
    private static final long MIN_RUNS_FOR_BANDS = 50;

    private final RolloutRecord rollout;
    private final RolloutLimits limits;
    private final Map<HostId, HostEvidence> evidenceByHost = new HashMap<>();
    private final Map<Stratum, VersionComparison> comparisons = new HashMap<>();
    private final Map<DomainRoute, VersionRuns> runsByDomainRoute = new HashMap<>();

    PooledEvidence(RolloutRecord rollout, RolloutLimits limits) {
        this.rollout = rollout;
        this.limits = limits;
    }

    /** Merges the counters of one host. Repeated and older counters have no effect. */
    void merge(
            long nowNanos,
            HostId host,
            FailureDomain domain,
            long incarnation,
            Map<RolloutMessage.Key, Tally> tallies) {
        HostEvidence evidence = evidenceByHost.get(host);
        if (evidence == null || evidence.incarnation < incarnation) {
            evidence = new HostEvidence(incarnation, domain);
            evidenceByHost.put(host, evidence);
        }
        if (evidence.incarnation > incarnation) {
            return;
        }
        evidence.receivedNanos = nowNanos;
        Map<RolloutMessage.Key, Tally> newer = new HashMap<>();
        for (Map.Entry<RolloutMessage.Key, Tally> entry : tallies.entrySet()) {
            RolloutMessage.Key key = entry.getKey();
            Tally before = evidence.tallies.getOrDefault(key, Tally.NONE);
            if (before.equals(entry.getValue()) || !rollout.routes().contains(key.route())) {
                continue;
            }
            Tally after = before.max(entry.getValue());
            if (after.equals(before)) {
                continue;
            }
            evidence.tallies.put(key, after);
            newer.put(key, after.since(before));
        }
        // The old version first, because it sets the baseline of the new one.
        newer.forEach((key, added) -> countOld(domain, key, added));
        newer.forEach((key, added) -> countNew(domain, key, added));
    }

    private void countOld(FailureDomain domain, RolloutMessage.Key key, Tally added) {
        if (key.version().equals(rollout.from())) {
            comparisonOf(key).addOld(added);
            runsOf(domain, key).ofOld += added.runs();
        }
    }

    private void countNew(FailureDomain domain, RolloutMessage.Key key, Tally added) {
        if (key.version().equals(rollout.to())) {
            comparisonOf(key).addNew(added);
            runsOf(domain, key).ofNew += added.runs();
        }
    }

    private VersionComparison comparisonOf(RolloutMessage.Key key) {
        return comparisons.computeIfAbsent(
                new Stratum(key.route(), key.band()), stratum -> new VersionComparison(limits));
    }

    private VersionRuns runsOf(FailureDomain domain, RolloutMessage.Key key) {
        return runsByDomainRoute.computeIfAbsent(
                new DomainRoute(domain, key.route()), pair -> new VersionRuns());
    }

    /** Returns the strongest evidence against the new version. */
    double alarm() {
        double strongest = 0;
        for (VersionComparison comparison : comparisons.values()) {
            strongest = Math.max(strongest, comparison.alarm());
        }
        return strongest;
    }

    /** Returns the evidence for the new version over all routes together. */
    double proofOverall() {
        double failures = 0;
        double slowness = 0;
        for (VersionComparison comparison : comparisons.values()) {
            failures += comparison.failureProof();
            slowness += comparison.slownessProof();
        }
        return -Math.max(failures, slowness);
    }

    /** Returns the evidence for the new version on the route that has the least. */
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
            VersionComparison comparison = comparisons.get(new Stratum(route, band));
            if (comparison != null) {
                failures += comparison.failureProof();
                slowness += comparison.slownessProof();
            }
        }
        return -Math.max(failures, slowness);
    }

    /**
     * Returns whether the new version lacks proof under load although the old one is often under
     * load. The proof is summed over routes, because load is a property of servers; alarms are kept
     * per route.
     */
    boolean lacksProofUnderLoad(double level) {
        long runs = 0;
        long runsUnderHighLoad = 0;
        double failures = 0;
        double slowness = 0;
        for (Map.Entry<Stratum, VersionComparison> entry : comparisons.entrySet()) {
            VersionComparison comparison = entry.getValue();
            runs += comparison.oldRuns();
            if (entry.getKey().band() == LoadBand.HIGH) {
                runsUnderHighLoad += comparison.oldRuns();
                failures += comparison.failureProof();
                slowness += comparison.slownessProof();
            }
        }
        boolean oftenUnderLoad =
                runs >= MIN_RUNS_FOR_BANDS && runsUnderHighLoad >= MIN_HIGH_LOAD_FRACTION * runs;
        return oftenUnderLoad && -Math.max(failures, slowness) < level;
    }

    /**
     * Returns whether a domain with many runs of the old version on a route has too few of the new
     * one.
     */
    boolean lacksRunsInBusyDomain() {
        for (VersionRuns runs : runsByDomainRoute.values()) {
            if (runs.ofOld >= BUSY_DOMAIN_RUNS && runs.ofNew < MIN_NEW_RUNS_IN_BUSY_DOMAIN) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether each of {@code domains} has a host with recent evidence. */
    boolean isFresh(long nowNanos, Collection<FailureDomain> domains) {
        long freshNanos = limits.freshMillis() * RolloutCore.NANOS_PER_MILLI;
        for (FailureDomain domain : domains) {
            boolean fresh =
                    evidenceByHost.values().stream()
                            .anyMatch(
                                    evidence ->
                                            evidence.domain.equals(domain)
                                                    && nowNanos - evidence.receivedNanos
                                                            <= freshNanos);
            if (!fresh) {
                return false;
            }
        }
        return true;
    }

    /** Resets the proof, as for a new step. Alarms continue. */
    void restartProof() {
        comparisons.values().forEach(VersionComparison::restartProof);
        runsByDomainRoute.clear();
    }

    /** Returns the runs of the new version that all reachable hosts have counted. */
    long newRuns() {
        long runs = 0;
        for (HostEvidence evidence : evidenceByHost.values()) {
            for (Map.Entry<RolloutMessage.Key, Tally> entry : evidence.tallies.entrySet()) {
                if (entry.getKey().version().equals(rollout.to())) {
                    runs += entry.getValue().runs();
                }
            }
        }
        return runs;
    }

    private record DomainRoute(FailureDomain domain, RouteId route) {}

    private static final class VersionRuns {
        long ofOld;
        long ofNew;
    }

    private static final class HostEvidence {
        final long incarnation;
        final FailureDomain domain;
        final Map<RolloutMessage.Key, Tally> tallies = new HashMap<>();
        long receivedNanos;

        HostEvidence(long incarnation, FailureDomain domain) {
            this.incarnation = incarnation;
            this.domain = domain;
        }
    }
}
