package org.masticpaddle.scale;

import java.util.List;
import java.util.Objects;

/**
 * Least-squares line through measured points. Immutable.
 *
 * @param intercept value at input 0
 * @param slope increase of the value for each unit of the input
 * @param rSquared coefficient of determination, 0 to 1; 1 if all values are equal
 */
public record LinearFit(double intercept, double slope, double rSquared) {
    /**
     * Fits a line to points.
     *
     * @param points points, at least two of them with different inputs
     * @return the line with the least squared error
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
        final double slope = covariance / varianceX;
        final double rSquared = varianceY == 0 ? 1 : covariance * covariance / (varianceX * varianceY);
        return new LinearFit(meanY - slope * meanX, slope, rSquared);
    }

    /**
     * Predicts the value for an input; costs are never negative, so the prediction is at least 0.
     *
     * @param input size of the input
     * @return the predicted value
     */
    public double at(double input) {
        return Math.max(0, intercept + slope * input);
    }

    /**
     * One measured point. Immutable.
     *
     * @param input size of the input
     * @param value measured value
     */
    public record Point(double input, double value) {}
}
