package org.orioleshed.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.orioleshed.catalog.Quota;
import org.orioleshed.model.WorkspaceId;

/**
 * The quotas of workspaces, as far as one scheduler may grant them. Each scheduler grants its share
 * of each quota; the rest belongs to schedulers that it has no contact with.
 */
public final class Quotas {
    private static final double RESERVED_FRACTION_PER_RANK = 0.2;
    private static final double MAX_RESERVED_FRACTION = 0.6;

    /** All hosts know a configuration within this time, if they are connected at all. */
    private static final long CONFIG_SPREAD_NANOS = 60_000_000_000L;

    /**
     * The fraction to which a new bucket is filled. The usage before this scheduler started is
     * unknown.
     */
    private final double initialFill;

    private final Slack slack;
    private final Role role;
    private final Map<WorkspaceId, QuotaBucket> buckets = new HashMap<>();
    private final Map<WorkspaceId, Long> leftOutNanos = new HashMap<>();
    private final Map<WorkspaceId, UndeclaredUse> undeclared = new HashMap<>();
    private Set<WorkspaceId> declared = Set.of();
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

    /**
     * What a workspace used that no configuration has declared here: the hosts of its requests know
     * a newer one.
     */
    private record UndeclaredUse(long units, long sinceNanos) {
        UndeclaredUse plus(long more) {
            return new UndeclaredUse(Math.max(0, units + more), sinceNanos);
        }
    }

    Quotas(double initialFill, Slack slack, Role role) {
        this.initialFill = initialFill;
        this.slack = slack;
        this.role = role;
    }

    /**
     * Sets the quotas of all workspaces. A workspace that is left out keeps its last limit: its
     * requests come from hosts that know another configuration.
     *
     * @param quotas an immutable map
     */
    void setLimits(Map<WorkspaceId, Quota> quotas, long nowNanos) {
        quotas.forEach((workspace, quota) -> setQuota(workspace, quota, nowNanos));
        declared = quotas.keySet();
        undeclared.keySet().removeAll(declared);
        undeclared.values().removeIf(it -> nowNanos - it.sinceNanos() > CONFIG_SPREAD_NANOS);
        forgetLeftOut(nowNanos);
    }

    private void setQuota(WorkspaceId workspace, Quota quota, long nowNanos) {
        QuotaBucket bucket = buckets.get(workspace);
        if (bucket == null && !quota.unlimited()) {
            buckets.put(workspace, newBucket(quota, undeclared.get(workspace), nowNanos));
        } else if (bucket != null && quota.unlimited()) {
            bucket.suspend();
        } else if (bucket != null) {
            bucket.enforce(quota, perSecond(quota), burst(quota), nowNanos);
        }
    }

    private QuotaBucket newBucket(Quota quota, UndeclaredUse used, long nowNanos) {
        double burst = burst(quota);
        long sinceNanos = used == null ? nowNanos : used.sinceNanos();
        TokenBucket tokens =
                new TokenBucket(perSecond(quota), burst, burst * initialFill, sinceNanos);
        if (used != null) {
            tokens.charge(used.units(), nowNanos);
        }
        return new QuotaBucket(quota, tokens);
    }

    /** Forgets workspaces that were left out long ago and have used nothing lately. */
    private void forgetLeftOut(long nowNanos) {
        leftOutNanos.keySet().removeAll(declared);
        buckets.entrySet()
                .removeIf(
                        entry ->
                                !declared.contains(entry.getKey())
                                        && mayBeForgotten(
                                                entry.getKey(), entry.getValue(), nowNanos));
        leftOutNanos.keySet().retainAll(buckets.keySet());
    }

    private boolean mayBeForgotten(WorkspaceId workspace, QuotaBucket bucket, long nowNanos) {
        long sinceNanos = leftOutNanos.computeIfAbsent(workspace, it -> nowNanos);
        return nowNanos - sinceNanos > CONFIG_SPREAD_NANOS && bucket.tokens().isRestored(nowNanos);
    }

    void setShare(double newShare, long nowNanos) {
        share = newShare;
        for (QuotaBucket bucket : buckets.values()) {
            bucket.tokens().setLimit(perSecond(bucket.quota()), burst(bucket.quota()), nowNanos);
        }
    }

    private double perSecond(Quota quota) {
        return quota.perSecond() * role.rateFraction * (1 + slack.fraction()) * share;
    }

    private double burst(Quota quota) {
        double extraUnits = quota.inTokens() ? slack.units() : 0;
        double quotaBurst = quota.burst() * role.burstFraction * (1 + slack.fraction());
        return Math.max(1, (quotaBurst + extraUnits) * share);
    }

    /**
     * Empties the buckets and returns what they held: for each workspace a fraction of its burst,
     * at most 1, and negative for a debt.
     */
    Map<WorkspaceId, Double> handOver(long nowNanos) {
        Map<WorkspaceId, Double> parts = new HashMap<>();
        buckets.forEach(
                (workspace, bucket) -> parts.put(workspace, bucket.tokens().empty(nowNanos)));
        return parts;
    }

    /** Replaces the initial fill by what another scheduler has handed over. */
    void takeOver(Map<WorkspaceId, Double> parts) {
        parts.forEach(
                (workspace, fraction) -> {
                    QuotaBucket bucket = buckets.get(workspace);
                    if (bucket != null) {
                        bucket.tokens().addFraction(fraction - initialFill);
                    }
                });
    }

    /** Takes the units of {@code request}; returns false if too few are left. */
    boolean tryTake(PlacementRequest request, long nowNanos) {
        Optional<QuotaBucket> bucket = bucket(request);
        if (bucket.isEmpty()) {
            recordUndeclared(request, request.quotaUnits(), nowNanos);
            return true;
        }
        return bucket.get().tryTake(request.quotaUnits(), reservedFraction(request), nowNanos);
    }

    private Optional<QuotaBucket> bucket(PlacementRequest request) {
        return request.workspace().map(buckets::get);
    }

    private void recordUndeclared(PlacementRequest request, long units, long nowNanos) {
        if (request.workspace().isEmpty() || declared.contains(request.workspace().get())) {
            return;
        }
        WorkspaceId workspace = request.workspace().get();
        UndeclaredUse used = undeclared.getOrDefault(workspace, new UndeclaredUse(0, nowNanos));
        undeclared.put(workspace, used.plus(units));
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
    void charge(PlacementRequest request, long nowNanos) {
        bucket(request)
                .ifPresentOrElse(
                        bucket -> bucket.tokens().charge(request.quotaUnits(), nowNanos),
                        () -> recordUndeclared(request, request.quotaUnits(), nowNanos));
    }

    /** Puts back the units of a request that never ran. */
    void refund(PlacementRequest request, long nowNanos) {
        bucket(request)
                .ifPresentOrElse(
                        bucket -> bucket.tokens().refund(request.quotaUnits()),
                        () -> recordUndeclared(request, -request.quotaUnits(), nowNanos));
    }

    /** Returns the time until the units of {@code request} can be taken, in milliseconds. */
    long millisUntil(PlacementRequest request) {
        return bucket(request)
                .map(bucket -> bucket.millisUntil(request.quotaUnits(), reservedFraction(request)))
                .orElse(0L);
    }
}
