package org.orioleshed.rollout;

import java.util.HashMap;
import java.util.Map;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.VersionId;

/** What one host has seen of a rollout's two versions itself. */
final class LocalEvidence {
    private static final Tally NORMAL = new Tally(1, 0, 0, 1, 0);
    private static final Tally SLOW = new Tally(1, 0, 0, 1, 1);
    private static final Tally UNTIMED = new Tally(1, 0, 0, 0, 0);
    private static final Tally FAILED = new Tally(1, 1, 0, 0, 0);
    private static final Tally EXCUSED = new Tally(0, 0, 1, 0, 0);
    private static final Tally CUT_SLOW = new Tally(0, 0, 0, 1, 1);

    private final VersionId from;
    private final VersionId to;
    private final RolloutLimits limits;
    private final SlowScale scale = new SlowScale();
    private final Blame blame = new Blame();
    private final Map<RolloutMessage.Key, Tally> tallies = new HashMap<>();
    private final Map<Cell, VersionTest> tests = new HashMap<>();
    private final Map<ServerId, Integer> coldRuns = new HashMap<>();

    LocalEvidence(VersionId from, VersionId to, RolloutLimits limits) {
        this.from = from;
        this.to = to;
        this.limits = limits;
    }

    /**
     * Takes in one run.
     *
     * @param generation the server's hardware generation; empty where it must not matter
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
                blame.succeeded(onNew, result.fingerprint());
                count(key, succeeded(key, onNew, server, generation, result));
                if (!onNew) {
                    scale.learn(route, band, generation, result);
                }
            }
            case FAILED -> settle(key, blame.failed(onNew, key, result.fingerprint()));
            case CRASHED ->
                    settle(key, blame.crashed(nowNanos, onNew, key, server, result.fingerprint()));
            case CUT -> timeCut(key, generation, result);
        }
    }

    /** Returns the counters, which only grow. */
    Map<RolloutMessage.Key, Tally> tallies() {
        return tallies;
    }

    /** Returns the strongest evidence against the new version. */
    double alarm() {
        double strongest = 0;
        for (VersionTest test : tests.values()) {
            strongest = Math.max(strongest, test.alarm());
        }
        return strongest;
    }

    private void settle(RolloutMessage.Key key, Blame.Verdict verdict) {
        switch (verdict) {
            case Blame.Verdict.Version version -> count(key, FAILED);
            case Blame.Verdict.Content content ->
                    content.excused().ifPresent(earlier -> count(earlier, EXCUSED));
        }
    }

    private Tally succeeded(
            RolloutMessage.Key key,
            boolean onNew,
            ServerId server,
            String generation,
            RunResult result) {
        if (onNew && coldRuns.merge(server, 1, Integer::sum) <= limits.coldRuns()) {
            return UNTIMED;
        }
        return switch (scale.judge(key.route(), key.band(), generation, result)) {
            case SLOW -> SLOW;
            case NORMAL -> NORMAL;
            case UNKNOWN -> UNTIMED;
        };
    }

    /** A run that was ended from outside says nothing, unless it had taken too long already. */
    private void timeCut(RolloutMessage.Key key, String generation, RunResult result) {
        SlowScale.Answer answer = scale.judgeCut(key.route(), key.band(), generation, result);
        if (answer == SlowScale.Answer.SLOW) {
            count(key, CUT_SLOW);
        }
    }

    private void count(RolloutMessage.Key key, Tally more) {
        tallies.merge(key, more, Tally::plus);
        VersionTest test =
                tests.computeIfAbsent(
                        new Cell(key.route(), key.band()), cell -> new VersionTest(limits));
        if (key.version().equals(to)) {
            test.addNew(more);
        } else {
            test.addOld(more);
        }
    }
}
