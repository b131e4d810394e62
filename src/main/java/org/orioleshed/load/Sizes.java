package org.orioleshed.load;

import java.util.random.RandomGenerator;

/**
 * A log-normal distribution of lengths, clamped to a range.
 *
 * @param median the median, in tokens
 * @param sigma the standard deviation of the logarithm
 * @param min the minimum length, in tokens
 * @param max the maximum length, in tokens
 */
record Sizes(int median, double sigma, int min, int max) {
    int draw(RandomGenerator random) {
        double length = median * Math.exp(sigma * random.nextGaussian());
        return (int) Math.max(min, Math.min(max, Math.round(length)));
    }
}
