package org.orioleshed.dispatch;

/** Units that a workspace may use: they come at a rate, up to a burst. */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private double perSecond;
    private double burst;
    private double units;
    private long filledNanos;

    /**
     * Makes a bucket.
     *
     * @param perSecond units a second; positive
     * @param burst the most units it holds
     * @param units the units it holds at first
     * @param nowNanos the present time
     */
    TokenBucket(double perSecond, double burst, double units, long nowNanos) {
        this.perSecond = perSecond;
        this.burst = burst;
        this.units = units;
        this.filledNanos = nowNanos;
    }

    /**
     * Takes a new rate and burst. What the bucket holds grows or shrinks with the burst: where two
     * parts of a quota come together, so does what is left of them.
     */
    void limit(double newPerSecond, double newBurst, long nowNanos) {
        fill(nowNanos);
        if (units > 0) {
            units *= newBurst / burst;
        }
        perSecond = newPerSecond;
        burst = newBurst;
    }

    /**
     * Takes units, or none. What exceeds the burst by itself is let through when the bucket is
     * full, and is owed.
     *
     * @param kept the part of the burst that must be left, from 0 to 1
     */
    boolean take(long wanted, double kept, long nowNanos) {
        fill(nowNanos);
        if (units < Math.min(wanted + kept * burst, burst)) {
            return false;
        }
        units -= wanted;
        return true;
    }

    /** Returns whether the bucket holds so many units. */
    boolean holds(long wanted, long nowNanos) {
        fill(nowNanos);
        return units >= wanted;
    }

    /** Takes units whether or not they are there; what is missing is owed. */
    void charge(long used, long nowNanos) {
        fill(nowNanos);
        units -= used;
    }

    /**
     * Empties the bucket and returns which part of its burst it held: at most 1, and negative for a
     * debt, which stays.
     */
    double empty(long nowNanos) {
        fill(nowNanos);
        double part = units / burst;
        units = Math.min(0, units);
        return part;
    }

    /** Adds a part of the burst; a negative one is taken away. */
    void addPart(double part) {
        units = Math.min(burst, units + part * burst);
    }

    /** Gives back units that were not used. */
    void giveBack(long unused) {
        units = Math.min(burst, units + unused);
    }

    /**
     * Returns the time until {@code wanted} units can be taken and {@code kept} of the burst is
     * left, in milliseconds.
     */
    long millisUntil(long wanted, double kept) {
        double missing = Math.min(wanted + kept * burst, burst) - units;
        return missing <= 0 ? 0 : (long) Math.ceil(missing / perSecond * 1_000);
    }

    private void fill(long nowNanos) {
        double seconds = Math.max(0, nowNanos - filledNanos) / NANOS_PER_SECOND;
        units = Math.min(burst, units + seconds * perSecond);
        filledNanos = nowNanos;
    }
}
