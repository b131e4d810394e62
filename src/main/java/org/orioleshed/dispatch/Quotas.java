package org.orioleshed.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.orioleshed.catalog.Quota;
import org.orioleshed.model.WorkspaceId;

/**
 * What workspaces may still use, as far as one scheduler may give it out. A part of each quota is
 * this scheduler's; the rest belongs to schedulers that it does not see.
 */
public final class Quotas {
    private static final double KEPT_FOR_EACH_RANK = 0.2;
    private static final double MAX_KEPT = 0.6;

    /**
     * A bucket is filled to this part at first: what was used before this scheduler began is not
     * known.
     */
    private final double firstFill;

    private final Slack slack;
    private final Role role;
    private final Map<WorkspaceId, TokenBucket> buckets = new HashMap<>();
    private Map<WorkspaceId, Quota> limits = Map.of();
    private double share = 1;

    /**
     * What operators tolerate beyond a quota.
     *
     * @param part a part of the quota, not negative
     * @param units units beside that, not negative
     */
    public record Slack(double part, double units) {
        /** Nothing beyond the quota. */
        public static final Slack NONE = new Slack(0, 0);

        /** Checks the arguments. */
        public Slack {
            if (part < 0 || units < 0) {
                throw new IllegalArgumentException("slack must not be negative");
            }
        }
    }

    /** Who gives out quotas. */
    public enum Role {
        /** The primary of the pools. */
        PRIMARY(1, 1, 1),
        /**
         * A host that does not hear the primary. Answers the load pattern of a primary that falls
         * silent just after it gave out the bursts, or goes on giving out beyond a cut that it has
         * not noticed: bursts are not given out again, the rate by a third only, and servers that
         * take few requests are left to the primary.
         */
        FALLBACK(0.35, 0, 0);

        private final double ratePart;
        private final double burstPart;
        private final double serverRatePart;

        Role(double ratePart, double burstPart, double serverRatePart) {
            this.ratePart = ratePart;
            this.burstPart = burstPart;
            this.serverRatePart = serverRatePart;
        }

        /** Returns the part of the rates that servers name which it gives out. */
        double serverRatePart() {
            return serverRatePart;
        }
    }

    Quotas(double firstFill, Slack slack, Role role) {
        this.firstFill = firstFill;
        this.slack = slack;
        this.role = role;
    }

    void limit(Map<WorkspaceId, Quota> quotas, long nowNanos) {
        limits = quotas;
        apply(nowNanos);
    }

    void share(double newShare, long nowNanos) {
        share = newShare;
        apply(nowNanos);
    }

    private void apply(long nowNanos) {
        buckets.keySet().removeIf(workspace -> quota(workspace).unlimited());
        limits.forEach(
                (workspace, quota) -> {
                    if (!quota.unlimited()) {
                        limitOne(workspace, quota, nowNanos);
                    }
                });
    }

    private void limitOne(WorkspaceId workspace, Quota quota, long nowNanos) {
        double perSecond = quota.perSecond() * role.ratePart * (1 + slack.part()) * share;
        double extraUnits = quota.inTokens() ? slack.units() : 0;
        double ofQuota = quota.burst() * role.burstPart * (1 + slack.part());
        double burst = Math.max(1, (ofQuota + extraUnits) * share);
        TokenBucket bucket = buckets.get(workspace);
        if (bucket == null) {
            buckets.put(workspace, new TokenBucket(perSecond, burst, burst * firstFill, nowNanos));
            return;
        }
        bucket.limit(perSecond, burst, nowNanos);
    }

    private Quota quota(WorkspaceId workspace) {
        return limits.getOrDefault(workspace, Quota.NONE);
    }

    /**
     * Gives out nothing more of what has gathered, and returns what that is: for each workspace the
     * part of its burst, at most 1, and negative for a debt.
     */
    Map<WorkspaceId, Double> handOver(long nowNanos) {
        Map<WorkspaceId, Double> parts = new HashMap<>();
        buckets.forEach((workspace, bucket) -> parts.put(workspace, bucket.empty(nowNanos)));
        return parts;
    }

    /** Goes on with what another scheduler has handed over, in place of the first fill. */
    void takeOver(Map<WorkspaceId, Double> parts) {
        parts.forEach(
                (workspace, part) -> {
                    TokenBucket bucket = buckets.get(workspace);
                    if (bucket != null) {
                        bucket.addPart(part - firstFill);
                    }
                });
    }

    /** Takes units; false when too few are left. */
    boolean take(PlacementRequest request, long nowNanos) {
        return request.workspace()
                .map(buckets::get)
                .map(bucket -> bucket.take(request.quotaUnits(), kept(request), nowNanos))
                .orElse(true);
    }

    /**
     * Returns the part of a burst that a call leaves to more urgent ones of its workspace. Answers
     * the load pattern of a workspace beyond its quota, whose patient calls used up what its urgent
     * ones needed. A plain call uses next to nothing.
     */
    private static double kept(PlacementRequest request) {
        boolean plain = request.promptTokens() == 0;
        return plain ? 0 : Math.min(MAX_KEPT, KEPT_FOR_EACH_RANK * request.routeRank());
    }

    /** Takes units of a request that another scheduler placed, whether or not they are there. */
    void charge(PlacementRequest request) {
        request.workspace()
                .map(buckets::get)
                .ifPresent(bucket -> bucket.giveBack(-request.quotaUnits()));
    }

    /** Gives back what a request that never ran had taken. */
    void giveBack(PlacementRequest request) {
        request.workspace()
                .map(buckets::get)
                .ifPresent(bucket -> bucket.giveBack(request.quotaUnits()));
    }

    /** Returns when the units of {@code request} can be taken, in milliseconds from now. */
    long millisUntil(PlacementRequest request) {
        return request.workspace()
                .map(buckets::get)
                .map(bucket -> bucket.millisUntil(request.quotaUnits(), kept(request)))
                .orElse(0L);
    }
}
