package org.radishspan.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Collects the values of a measure at several sizes and fits a straight line to them.
 *
 * <pre>{@code
 * Slope slope = new Slope("ledger bytes", "shares").add(100, 9_000).add(200, 18_000).add(400, 36_000);
 * double bytesPerShare = slope.perUnit();
 * }</pre>
 */
public final class Slope {
    private final String measure;
    private final String unit;
    private final List<double[]> points = new ArrayList<>();

    /** Creates a slope without points for a measure whose size is counted in the given unit. */
    public Slope(String measure, String unit) {
        this.measure = measure;
        this.unit = unit;
    }

    /** Returns the name of the measure. */
    public String measure() {
        return measure;
    }

    /** Adds the value of the measure at a size; returns this slope. */
    public Slope add(double size, double value) {
        points.add(new double[] {size, value});
        return this;
    }

    private double mean(int column) {
        return points.stream().mapToDouble(point -> point[column]).average().orElse(0);
    }

    /** Returns the growth of the measure per unit by a least-squares fit; 0 if all points have the same size. */
    public double perUnit() {
        double meanSize = mean(0);
        double meanValue = mean(1);
        double covariance = 0;
        double variance = 0;
        for (double[] point : points) {
            covariance += (point[0] - meanSize) * (point[1] - meanValue);
            variance += (point[0] - meanSize) * (point[0] - meanSize);
        }
        return variance == 0 ? 0 : covariance / variance;
    }

    /** Returns the value of the fitted line at size 0. */
    public double atZero() {
        return mean(1) - perUnit() * mean(0);
    }

    /** Returns the fitted line and the points as one line of text. */
    public String row() {
        StringBuilder text = new StringBuilder();
        for (double[] point : points) {
            text.append(String.format(Locale.ROOT, " (%.0f, %.1f)", point[0], point[1]));
        }
        return String.format(
                Locale.ROOT, "%-34s %12.3f per %-10s %12.1f at 0  %s", measure, perUnit(), unit, atZero(), text);
    }
}
