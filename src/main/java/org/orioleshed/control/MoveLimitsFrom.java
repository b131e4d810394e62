package org.orioleshed.control;

import org.orioleshed.move.MoveLimits;
import org.orioleshed.settings.Limits;

/** Takes the limits of moves from the settings; what they do not state is the default. */
final class MoveLimitsFrom {
    private MoveLimitsFrom() {}

    static MoveLimits settings(Limits stated) {
        MoveLimits base = MoveLimits.DEFAULT;
        return new MoveLimits(
                stated.moveShares(),
                base.serviceFactor(),
                base.stepProof(),
                base.fullProof(),
                base.fuseLevel(),
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
