package org.orioleshed.dispatch;

/**
 * A token bucket: units accrue at a rate, up to a burst. A changed burst creates no units: what was
 * taken under an earlier one has to accrue before it may be taken again.
 */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private double perSecond;
    private double burst;
    private double units;

    /**
     * The units taken earlier that a lower burst does not require back. They are required again
     * when the burst rises.
     */
    private double waived;

    private long filledNanos;

    /**
     * Makes a bucket.
     *
     * @param perSecond the units added each second; positive
     * @param burst the maximum units that it holds
     * @param units the units that it holds initially
     * @param nowNanos the current time on the monotonic clock
     */
    TokenBucket(double perSecond, double burst, double units, long nowNanos) {
        this.perSecond = perSecond;
        this.burst = burst;
        this.units = units;
        this.filledNanos = nowNanos;
    }

    /**
     * Sets the rate and burst, and scales the held units with the burst: when two shares of a quota
     * are joined, so is what is left of them. A debt is not scaled.
     */
    void setLimit(double newPerSecond, double newBurst, long nowNanos) {
        fill(nowNanos);
        double ratio = newBurst / burst;
        if (units > 0) {
            units *= ratio;
        }
        waived *= ratio;
        perSecond = newPerSecond;
        burst = newBurst;
    }

    /**
     * Sets the rate and burst that operators changed. A higher burst adds units only as far as
     * fewer have been taken than it allows, so that none can be taken twice by a lower burst in
     * between.
     */
    void changeLimit(double newPerSecond, double newBurst, long nowNanos) {
        fill(nowNanos);
        double taken = burst - units + waived;
        units = Math.min(newBurst, Math.max(units, newBurst - taken));
        waived = taken - (newBurst - units);
        perSecond = newPerSecond;
        burst = newBurst;
    }

    /** Waives a debt: no limit was in force when it was made. */
    void waiveDebt(long nowNanos) {
        fill(nowNanos);
        waived += Math.max(0, -units);
        units = Math.max(0, units);
    }

    /**
     * Takes the units if the bucket holds them. A request larger than the burst passes when the
     * bucket is full and leaves a debt.
     *
     * @param reservedFraction the fraction of the burst that must be left, from 0 to 1
     */
    boolean tryTake(long wanted, double reservedFraction, long nowNanos) {
        fill(nowNanos);
        if (units < Math.min(wanted + reservedFraction * burst, burst)) {
            return false;
        }
        units -= wanted;
        return true;
    }

    /** Returns whether the bucket holds {@code wanted} units. */
    boolean holds(long wanted, long nowNanos) {
        fill(nowNanos);
        return units >= wanted;
    }

    /** Returns whether all units that were taken have accrued again. */
    boolean isRestored(long nowNanos) {
        fill(nowNanos);
        return units >= burst && waived <= 0;
    }

    /** Takes units even if the bucket holds fewer, which leaves a debt. */
    void charge(long used, long nowNanos) {
        fill(nowNanos);
        units -= used;
    }

    /**
     * Empties the bucket and returns the fraction of its burst that it held: at most 1, and
     * negative for a debt, which remains.
     */
    double empty(long nowNanos) {
        fill(nowNanos);
        double fraction = units / burst;
        units = Math.min(0, units);
        return fraction;
    }

    /** Adds a fraction of the burst, which may be negative. */
    void addFraction(double fraction) {
        units = Math.min(burst, units + fraction * burst);
    }

    /** Puts back unused units; those that a lower burst waived are not held again. */
    void refund(long unused) {
        double unwaived = Math.min(waived, (double) unused);
        waived -= unwaived;
        units = Math.min(burst, units + unused - unwaived);
    }

    /**
     * Returns the time until {@code wanted} units can be taken with {@code reservedFraction} of the
     * burst left, in milliseconds.
     */
    long millisUntil(long wanted, double reservedFraction) {
        double missing = Math.min(wanted + reservedFraction * burst, burst) - units;
        return missing <= 0 ? 0 : (long) Math.ceil(missing / perSecond * 1_000);
    }

    private void fill(long nowNanos) {
        double seconds = Math.max(0, nowNanos - filledNanos) / NANOS_PER_SECOND;
        double accrued = seconds * perSecond;
        double held = Math.min(burst, units + accrued);
        waived = Math.max(0, waived - (accrued - (held - units)));
        units = held;
        filledNanos = nowNanos;
    }
}
