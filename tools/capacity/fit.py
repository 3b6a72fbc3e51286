"""Least-squares fits of a quantity against a size."""

import math
from typing import NamedTuple


class Fit(NamedTuple):
    """
    The line `intercept + slope * size`.

    `error` is the standard error of the slope, and `largest` the largest absolute
    difference between a measured value and the line.
    """

    intercept: float
    slope: float
    error: float
    largest: float

    def predict(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


def fit_line(points: list[tuple[float, float]]) -> Fit:
    """Fit a line to at least three points with two different sizes or more."""
    count = len(points)
    if count < 3 or len({size for size, _ in points}) < 2:
        raise ValueError('a line fit needs three points with at least two sizes')
    mean_size = sum(size for size, _ in points) / count
    mean_value = sum(value for _, value in points) / count
    spread = sum((size - mean_size) ** 2 for size, _ in points)
    slope = (
        sum((size - mean_size) * (value - mean_value) for size, value in points)
        / spread
    )
    intercept = mean_value - slope * mean_size
    residuals = [value - intercept - slope * size for size, value in points]
    variance = sum(one * one for one in residuals) / (count - 2)
    return Fit(
        intercept=intercept,
        slope=slope,
        error=math.sqrt(variance / spread),
        largest=max(map(abs, residuals)),
    )


def fit_power(points: list[tuple[float, float]]) -> float:
    """Return the exponent of growth: 1 for linear, 2 for quadratic growth."""
    logs = [(math.log(size), math.log(value)) for size, value in points if value > 0]
    return fit_line(logs).slope


def describe_fit(name: str, points: list[tuple[float, float]], unit: str) -> str:
    """Return one line with the points, the slope and its error."""
    fit = fit_line(points)
    shown = ' '.join(f'{size:g}:{value:.4g}' for size, value in points)
    return (
        f'{name}: {fit.slope:.4g} +- {fit.error:.2g} {unit} each, '
        f'intercept {fit.intercept:.4g}, off by at most {fit.largest:.2g} [{shown}]'
    )
