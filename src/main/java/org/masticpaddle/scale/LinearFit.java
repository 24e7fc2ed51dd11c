package org.masticpaddle.scale;

import java.util.List;
import java.util.Objects;

/**
 * Straight line through measured points by least squares. Immutable.
 *
 * @param intercept value at 0
 * @param slope growth for each unit of the input
 * @param rSquared part of the variation that the line explains, from 0 to 1
 */
public record LinearFit(double intercept, double slope, double rSquared) {
    /**
     * Fits a line.
     *
     * @param points at least two points of different input
     * @return the line
     */
    public static LinearFit of(List<Point> points) {
        Objects.requireNonNull(points, "points is null");
        final double meanX = points.stream().mapToDouble(Point::input).average().orElseThrow();
        final double meanY = points.stream().mapToDouble(Point::value).average().orElseThrow();
        double covariance = 0;
        double varianceX = 0;
        double varianceY = 0;
        for (final Point point : points) {
            covariance += (point.input() - meanX) * (point.value() - meanY);
            varianceX += (point.input() - meanX) * (point.input() - meanX);
            varianceY += (point.value() - meanY) * (point.value() - meanY);
        }
        final double perUnit = covariance / varianceX;
        final double fit = varianceY == 0 ? 1 : covariance * covariance / (varianceX * varianceY);
        return new LinearFit(meanY - perUnit * meanX, perUnit, fit);
    }

    /**
     * Evaluates the line.
     *
     * @param input size of the input
     * @return value, at least 0
     */
    public double at(double input) {
        return Math.max(0, intercept + slope * input);
    }

    /**
     * One measurement.
     *
     * @param input size of the input
     * @param value what was measured
     */
    public record Point(double input, double value) {}
}
