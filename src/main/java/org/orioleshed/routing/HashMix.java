package org.orioleshed.routing;

/** Spreads numbers evenly and repeatably over all 64 bits, to break ties without randomness. */
final class HashMix {
    private HashMix() {}

    /** Returns the finaliser of SplitMix64 over {@code value}. */
    static long mix(long value) {
        long z = value + 0x9e3779b97f4a7c15L;
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
