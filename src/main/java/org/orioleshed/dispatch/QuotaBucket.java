package org.orioleshed.dispatch;

import org.orioleshed.catalog.Quota;

/**
 * What is left of the quota of one workspace. It outlasts configurations that leave the workspace
 * out or state no limit for it, so that the next limit does not grant again what was used.
 */
final class QuotaBucket {
    private final TokenBucket tokens;
    private Quota quota;
    private boolean enforced = true;

    /**
     * Makes the bucket of a workspace.
     *
     * @param quota the quota in force, which is a limit
     * @param tokens what is left of it
     */
    QuotaBucket(Quota quota, TokenBucket tokens) {
        this.quota = quota;
        this.tokens = tokens;
    }

    /** Returns the last limit that a configuration stated. */
    Quota quota() {
        return quota;
    }

    TokenBucket tokens() {
        return tokens;
    }

    /** Grants everything from now on, and counts it: a configuration states no limit. */
    void suspend() {
        enforced = false;
    }

    /**
     * Enforces a limit.
     *
     * @param perSecond the part of the quota's rate that may be granted here
     * @param burst the part of its burst
     */
    void enforce(Quota newQuota, double perSecond, double burst, long nowNanos) {
        if (!enforced) {
            tokens.waiveDebt(nowNanos);
        }
        enforced = true;
        quota = newQuota;
        tokens.changeLimit(perSecond, burst, nowNanos);
    }

    /** Takes units; returns false if a limit is enforced and too few are left. */
    boolean tryTake(long units, double reservedFraction, long nowNanos) {
        if (enforced) {
            return tokens.tryTake(units, reservedFraction, nowNanos);
        }
        tokens.charge(units, nowNanos);
        return true;
    }

    /** Returns the time until the units can be taken, in milliseconds. */
    long millisUntil(long units, double reservedFraction) {
        return enforced ? tokens.millisUntil(units, reservedFraction) : 0;
    }
}
