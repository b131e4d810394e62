package org.orioleshed.control;

import org.orioleshed.rollout.RolloutLimits;
import org.orioleshed.settings.Limits;

/** Takes the limits of moves from the settings; what they do not state is the default. */
final class RolloutLimitsFrom {
    private RolloutLimitsFrom() {}

    static RolloutLimits settings(Limits stated) {
        RolloutLimits base = RolloutLimits.DEFAULT;
        return new RolloutLimits(
                stated.moveShares(),
                base.serviceFactor(),
                base.stepProof(),
                base.fullProof(),
                base.breakerLevel(),
                base.failureGap(),
                base.slowGap(),
                stated.moveSoakFraction(),
                stated.moveSpreadMillis(),
                base.guardMillis(),
                base.gossipMillis(),
                base.gossipPeers(),
                base.freshMillis(),
                base.leaseMillis(),
                base.leaseMarginMillis(),
                base.storeTimeoutMillis(),
                base.listMillis(),
                base.coldRuns(),
                stated.versionLoadsAtOnce(),
                base.weightSpacingMillis());
    }
}
