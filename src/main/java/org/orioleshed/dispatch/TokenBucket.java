package org.orioleshed.dispatch;

/** A token bucket: units accrue at a rate, up to a burst. */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private double perSecond;
    private double burst;
    private double units;
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
        if (units > 0) {
            units *= newBurst / burst;
        }
        perSecond = newPerSecond;
        burst = newBurst;
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

    /** Puts back unused units. */
    void refund(long unused) {
        units = Math.min(burst, units + unused);
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
        units = Math.min(burst, units + seconds * perSecond);
        filledNanos = nowNanos;
    }
}
