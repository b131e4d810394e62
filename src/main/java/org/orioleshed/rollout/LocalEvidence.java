package org.orioleshed.rollout;

import java.util.HashMap;
import java.util.Map;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.VersionId;

/** Evidence on a rollout's two versions from the runs of this host. */
final class LocalEvidence {
    private static final Tally NORMAL = new Tally(1, 0, 0, 1, 0);
    private static final Tally SLOW = new Tally(1, 0, 0, 1, 1);
    private static final Tally NOT_TIMED = new Tally(1, 0, 0, 0, 0);
    private static final Tally FAILED = new Tally(1, 1, 0, 0, 0);
    private static final Tally EXCUSED = new Tally(0, 0, 1, 0, 0);
    private static final Tally INTERRUPTED_SLOW = new Tally(0, 0, 0, 1, 1);

    private final VersionId from;
    private final VersionId to;
    private final RolloutLimits limits;
    private final SlownessClassifier slowness = new SlownessClassifier();
    private final FailureAttribution attribution = new FailureAttribution();
    private final Map<RolloutMessage.Key, Tally> tallies = new HashMap<>();
    private final Map<Stratum, VersionComparison> comparisons = new HashMap<>();
    private final Map<ServerId, Integer> coldRuns = new HashMap<>();

    LocalEvidence(VersionId from, VersionId to, RolloutLimits limits) {
        this.from = from;
        this.to = to;
        this.limits = limits;
    }

    /**
     * Records one run.
     *
     * @param generation the server's hardware generation; empty to compare across generations
     */
    void observe(
            long nowNanos,
            RouteId route,
            VersionId version,
            ServerId server,
            String generation,
            RunResult result) {
        if (!version.equals(from) && !version.equals(to)) {
            return;
        }
        boolean onNew = version.equals(to);
        LoadBand band = LoadBand.of(result.load());
        RolloutMessage.Key key = new RolloutMessage.Key(route, version, band);
        switch (result.verdict()) {
            case OK -> {
                attribution.recordSuccess(onNew, result.fingerprint());
                count(key, tallyOfSuccess(key, onNew, server, generation, result));
                if (!onNew) {
                    slowness.addBaseline(route, band, generation, result);
                }
            }
            case FAILED ->
                    recordFailure(
                            key, attribution.attributeFailure(onNew, key, result.fingerprint()));
            case CRASHED ->
                    recordFailure(
                            key,
                            attribution.attributeCrash(
                                    nowNanos, onNew, key, server, result.fingerprint()));
            case INTERRUPTED -> recordInterrupted(key, generation, result);
        }
    }

    /** Returns the counters, which only grow. */
    Map<RolloutMessage.Key, Tally> tallies() {
        return tallies;
    }

    /** Returns the strongest evidence against the new version. */
    double alarm() {
        double strongest = 0;
        for (VersionComparison comparison : comparisons.values()) {
            strongest = Math.max(strongest, comparison.alarm());
        }
        return strongest;
    }

    private void recordFailure(RolloutMessage.Key key, FailureAttribution.Cause cause) {
        switch (cause) {
            case FailureAttribution.Cause.Version version -> count(key, FAILED);
            case FailureAttribution.Cause.Content content ->
                    content.excused().ifPresent(earlier -> count(earlier, EXCUSED));
        }
    }

    private Tally tallyOfSuccess(
            RolloutMessage.Key key,
            boolean onNew,
            ServerId server,
            String generation,
            RunResult result) {
        if (onNew && coldRuns.merge(server, 1, Integer::sum) <= limits.coldRuns()) {
            return NOT_TIMED;
        }
        return switch (slowness.classify(key.route(), key.band(), generation, result)) {
            case SLOW -> SLOW;
            case NORMAL -> NORMAL;
            case UNKNOWN -> NOT_TIMED;
        };
    }

    /** Records an interrupted run. It counts only if it had already taken too long. */
    private void recordInterrupted(RolloutMessage.Key key, String generation, RunResult result) {
        SlownessClassifier.Speed speed =
                slowness.classifyInterrupted(key.route(), key.band(), generation, result);
        if (speed == SlownessClassifier.Speed.SLOW) {
            count(key, INTERRUPTED_SLOW);
        }
    }

    private void count(RolloutMessage.Key key, Tally added) {
        tallies.merge(key, added, Tally::plus);
        VersionComparison comparison =
                comparisons.computeIfAbsent(
                        new Stratum(key.route(), key.band()),
                        stratum -> new VersionComparison(limits));
        if (key.version().equals(to)) {
            comparison.addNew(added);
        } else {
            comparison.addOld(added);
        }
    }
}
