package org.orioleshed.load;

import java.util.random.RandomGenerator;

/**
 * A heavy-tailed distribution of lengths: log-normal, cut off at both ends.
 *
 * @param median the median, in tokens
 * @param sigma the standard deviation of the logarithm
 * @param min the least length, in tokens
 * @param max the greatest length, in tokens
 */
record Sizes(int median, double sigma, int min, int max) {
    int draw(RandomGenerator random) {
        double length = median * Math.exp(sigma * random.nextGaussian());
        return (int) Math.max(min, Math.min(max, Math.round(length)));
    }
}
