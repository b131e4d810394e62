package org.orioleshed.dispatch;

/** A linear regression over recent points whose weights decay exponentially. */
final class LinearFit {
    private static final double DECAY = 0.995;
    private static final double MIN_SQUARES_X = 1e-6;

    private double weight;
    private double sumX;
    private double sumY;
    private double sumXx;
    private double sumXy;

    /**
     * Makes a fit with a prior line.
     *
     * @param offset the prior's value at 0
     * @param slope the prior's slope
     * @param scaleX a typical x
     * @param priorWeight how many points the prior weighs as much as
     */
    LinearFit(double offset, double slope, double scaleX, double priorWeight) {
        addWeighted(0, offset, priorWeight / 2);
        addWeighted(scaleX, offset + slope * scaleX, priorWeight / 2);
    }

    void add(double x, double y) {
        weight *= DECAY;
        sumX *= DECAY;
        sumY *= DECAY;
        sumXx *= DECAY;
        sumXy *= DECAY;
        addWeighted(x, y, 1);
    }

    private void addWeighted(double x, double y, double pointWeight) {
        weight += pointWeight;
        sumX += pointWeight * x;
        sumY += pointWeight * y;
        sumXx += pointWeight * x * x;
        sumXy += pointWeight * x * y;
    }

    /** Returns the fitted value at {@code x}, at least 0.001. */
    double at(double x) {
        double squaresX = sumXx - sumX * sumX / weight;
        double slope =
                squaresX < MIN_SQUARES_X
                        ? 0
                        : Math.max(0, (sumXy - sumX * sumY / weight) / squaresX);
        double offset = Math.max(0, (sumY - slope * sumX) / weight);
        return Math.max(0.001, offset + slope * x);
    }
}
