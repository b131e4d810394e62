package org.orioleshed.routing;

/** A deterministic 64-bit hash mix, to break ties and vary choices without randomness. */
final class HashMix {
    private HashMix() {}

    /** Returns {@code value} mixed by the SplitMix64 finalizer. */
    static long mix(long value) {
        long z = value + 0x9e3779b97f4a7c15L;
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
