"""Straight lines through measured sizes."""

import statistics

from pydantic import BaseModel, ConfigDict


class Slope(BaseModel):
    """A straight line through measured sizes, with the standard error of its slope."""

    model_config = ConfigDict(frozen=True)

    figure: str
    per: str
    intercept: float
    slope: float
    error: float

    def at(self, size: float) -> float:
        """Return the figure at a size."""
        return self.intercept + self.slope * size


def fit(figure: str, per: str, sizes: list[float], values: list[float]) -> Slope:
    """Fit a straight line by least squares; needs two different sizes."""
    line = statistics.linear_regression(sizes, values)
    rest = [
        value - line.intercept - line.slope * size
        for size, value in zip(sizes, values, strict=True)
    ]
    freedom = max(1, len(sizes) - 2)
    mean = statistics.fmean(sizes)
    spread = sum((size - mean) ** 2 for size in sizes)
    error = (sum(each**2 for each in rest) / freedom / spread) ** 0.5
    return Slope(figure=figure, per=per, intercept=line.intercept, slope=line.slope, error=error)
