package org.orioleshed.control;

import org.orioleshed.rollout.RolloutLimits;
import org.orioleshed.settings.Limits;

/** Maps the limits of the settings to those of rollouts; the others keep their defaults. */
final class RolloutLimitsMapper {
    private RolloutLimitsMapper() {}

    static RolloutLimits toRolloutLimits(Limits limits) {
        RolloutLimits defaults = RolloutLimits.DEFAULT;
        return new RolloutLimits(
                limits.moveShares(),
                defaults.serviceFactor(),
                defaults.stepProof(),
                defaults.fullProof(),
                defaults.breakerLevel(),
                defaults.failureGap(),
                defaults.slowGap(),
                limits.moveSoakFraction(),
                limits.moveSpreadMillis(),
                defaults.guardMillis(),
                defaults.gossipMillis(),
                defaults.gossipPeers(),
                defaults.freshMillis(),
                defaults.leaseMillis(),
                defaults.leaseMarginMillis(),
                defaults.storeTimeoutMillis(),
                defaults.listMillis(),
                defaults.coldRuns(),
                limits.versionLoadsAtOnce(),
                defaults.weightSpacingMillis());
    }
}
