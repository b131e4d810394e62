package org.orioleshed.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.orioleshed.catalog.Quota;
import org.orioleshed.model.WorkspaceId;

/**
 * The quotas of workspaces, as far as one scheduler may grant them. Each scheduler grants its share
 * of each quota; the rest belongs to schedulers that it has no contact with.
 */
public final class Quotas {
    private static final double RESERVED_FRACTION_PER_RANK = 0.2;
    private static final double MAX_RESERVED_FRACTION = 0.6;

    /**
     * The fraction to which a new bucket is filled. The usage before this scheduler started is
     * unknown.
     */
    private final double initialFill;

    private final Slack slack;
    private final Role role;
    private final Map<WorkspaceId, TokenBucket> buckets = new HashMap<>();
    private Map<WorkspaceId, Quota> limits = Map.of();
    private double share = 1;

    /**
     * The tolerance beyond a quota, set by operators.
     *
     * @param fraction a fraction of the quota, not negative
     * @param units units in addition to that, not negative
     */
    public record Slack(double fraction, double units) {
        /** No tolerance. */
        public static final Slack NONE = new Slack(0, 0);

        /** Checks the arguments. */
        public Slack {
            if (fraction < 0 || units < 0) {
                throw new IllegalArgumentException(
                        "slack must not be negative, found fraction "
                                + fraction
                                + " and units "
                                + units);
            }
        }
    }

    /** The role of a scheduler in granting quotas. */
    public enum Role {
        /** The scheduler of the primary. */
        PRIMARY(1, 1, 1),
        /**
         * A host that receives nothing from the primary. The primary may have granted the bursts
         * just before it stopped responding, or it may still grant quotas across an undetected
         * network partition. So a fallback grants no bursts, only about a third of the rates, and
         * nothing on servers with a stated rate limit.
         */
        FALLBACK(0.35, 0, 0);

        private final double rateFraction;
        private final double burstFraction;
        private final double serverRateFraction;

        Role(double rateFraction, double burstFraction, double serverRateFraction) {
            this.rateFraction = rateFraction;
            this.burstFraction = burstFraction;
            this.serverRateFraction = serverRateFraction;
        }

        /** Returns the fraction of the rates stated by servers that this role grants. */
        double serverRateFraction() {
            return serverRateFraction;
        }
    }

    Quotas(double initialFill, Slack slack, Role role) {
        this.initialFill = initialFill;
        this.slack = slack;
        this.role = role;
    }

    void setLimits(Map<WorkspaceId, Quota> quotas, long nowNanos) {
        limits = quotas;
        apply(nowNanos);
    }

    void setShare(double newShare, long nowNanos) {
        share = newShare;
        apply(nowNanos);
    }

    private void apply(long nowNanos) {
        buckets.keySet().removeIf(workspace -> quota(workspace).unlimited());
        limits.forEach(
                (workspace, quota) -> {
                    if (!quota.unlimited()) {
                        setLimit(workspace, quota, nowNanos);
                    }
                });
    }

    private void setLimit(WorkspaceId workspace, Quota quota, long nowNanos) {
        double perSecond = quota.perSecond() * role.rateFraction * (1 + slack.fraction()) * share;
        double extraUnits = quota.inTokens() ? slack.units() : 0;
        double quotaBurst = quota.burst() * role.burstFraction * (1 + slack.fraction());
        double burst = Math.max(1, (quotaBurst + extraUnits) * share);
        TokenBucket bucket = buckets.get(workspace);
        if (bucket == null) {
            buckets.put(
                    workspace, new TokenBucket(perSecond, burst, burst * initialFill, nowNanos));
            return;
        }
        bucket.setLimit(perSecond, burst, nowNanos);
    }

    private Quota quota(WorkspaceId workspace) {
        return limits.getOrDefault(workspace, Quota.NONE);
    }

    /**
     * Empties the buckets and returns what they held: for each workspace a fraction of its burst,
     * at most 1, and negative for a debt.
     */
    Map<WorkspaceId, Double> handOver(long nowNanos) {
        Map<WorkspaceId, Double> parts = new HashMap<>();
        buckets.forEach((workspace, bucket) -> parts.put(workspace, bucket.empty(nowNanos)));
        return parts;
    }

    /** Replaces the initial fill by what another scheduler has handed over. */
    void takeOver(Map<WorkspaceId, Double> parts) {
        parts.forEach(
                (workspace, fraction) -> {
                    TokenBucket bucket = buckets.get(workspace);
                    if (bucket != null) {
                        bucket.addFraction(fraction - initialFill);
                    }
                });
    }

    /** Takes the units of {@code request}; returns false if too few are left. */
    boolean tryTake(PlacementRequest request, long nowNanos) {
        return request.workspace()
                .map(buckets::get)
                .map(
                        bucket ->
                                bucket.tryTake(
                                        request.quotaUnits(), reservedFraction(request), nowNanos))
                .orElse(true);
    }

    /**
     * Returns the fraction of a burst that a request must leave to more urgent ones of its
     * workspace. Otherwise the less urgent requests of a workspace at its quota use up what its
     * urgent ones need. Plain calls use very little and leave nothing.
     */
    private static double reservedFraction(PlacementRequest request) {
        boolean plain = request.promptTokens() == 0;
        return plain
                ? 0
                : Math.min(MAX_RESERVED_FRACTION, RESERVED_FRACTION_PER_RANK * request.routeRank());
    }

    /** Charges a request that another scheduler placed, even beyond what is left. */
    void charge(PlacementRequest request) {
        request.workspace()
                .map(buckets::get)
                .ifPresent(bucket -> bucket.refund(-request.quotaUnits()));
    }

    /** Puts back the units of a request that never ran. */
    void refund(PlacementRequest request) {
        request.workspace()
                .map(buckets::get)
                .ifPresent(bucket -> bucket.refund(request.quotaUnits()));
    }

    /** Returns the time until the units of {@code request} can be taken, in milliseconds. */
    long millisUntil(PlacementRequest request) {
        return request.workspace()
                .map(buckets::get)
                .map(bucket -> bucket.millisUntil(request.quotaUnits(), reservedFraction(request)))
                .orElse(0L);
    }
}
