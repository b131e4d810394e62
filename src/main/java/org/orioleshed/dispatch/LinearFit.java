package org.orioleshed.dispatch;

/** A straight line through recent points, older ones counting less. */
final class LinearFit {
    private static final double KEEP = 0.995;
    private static final double LEAST_SPREAD = 1e-6;

    private double weight;
    private double sumX;
    private double sumY;
    private double sumXx;
    private double sumXy;

    /**
     * Makes a line that is believed as much as {@code priorWeight} points until others come.
     *
     * @param offset its height at 0
     * @param slope its slope
     * @param scaleX the size of usual x
     * @param priorWeight how many points the first belief is worth
     */
    LinearFit(double offset, double slope, double scaleX, double priorWeight) {
        addWeighted(0, offset, priorWeight / 2);
        addWeighted(scaleX, offset + slope * scaleX, priorWeight / 2);
    }

    void add(double x, double y) {
        weight *= KEEP;
        sumX *= KEEP;
        sumY *= KEEP;
        sumXx *= KEEP;
        sumXy *= KEEP;
        addWeighted(x, y, 1);
    }

    private void addWeighted(double x, double y, double by) {
        weight += by;
        sumX += by * x;
        sumY += by * y;
        sumXx += by * x * x;
        sumXy += by * x * y;
    }

    /** Returns the line's height at {@code x}, at least a thousandth. */
    double at(double x) {
        double spread = sumXx - sumX * sumX / weight;
        double slope =
                spread < LEAST_SPREAD ? 0 : Math.max(0, (sumXy - sumX * sumY / weight) / spread);
        double offset = Math.max(0, (sumY - slope * sumX) / weight);
        return Math.max(0.001, offset + slope * x);
    }
}
