"""
Ordinary least squares of a few variables, with standard errors.

    fit = fit_line([(1, 3, 8), (1, 9, 8), (1, 27, 64)], [0.1, 0.2, 0.5])
    fit.predict((1, 350, 770))    # value and its standard error
"""

import math
import typing

Row = tuple[float, ...]


class Prediction(typing.NamedTuple):
    """A value and its standard error."""

    value: float
    error: float


class Fit(typing.NamedTuple):
    """Coefficients with their standard errors, and what predictions need."""

    coefficients: tuple[float, ...]
    errors: tuple[float, ...]
    inverse: tuple[Row, ...]
    residual: float

    def predict(self, row: Row) -> Prediction:
        """Return the value at a row; the error is that of the fitted mean."""
        value = sum(a * b for a, b in zip(self.coefficients, row, strict=True))
        spread = sum(
            row[i] * self.inverse[i][j] * row[j]
            for i in range(len(row))
            for j in range(len(row))
        )
        return Prediction(value, self.residual * math.sqrt(max(0.0, spread)))


def fit_line(rows: typing.Sequence[Row], values: typing.Sequence[float]) -> Fit:
    """Return the least-squares fit, or raise ValueError for too few rows."""
    width = len(rows[0])
    if len(rows) <= width:
        raise ValueError(f"{width} coefficients need more than {width} rows")
    normal = [
        [sum(row[i] * row[j] for row in rows) for j in range(width)]
        for i in range(width)
    ]
    moments = [
        sum(row[i] * value for row, value in zip(rows, values, strict=True))
        for i in range(width)
    ]
    inverse = _invert(normal)
    coefficients = tuple(
        sum(inverse[i][j] * moments[j] for j in range(width)) for i in range(width)
    )
    squares = sum(
        (value - sum(a * b for a, b in zip(coefficients, row, strict=True))) ** 2
        for row, value in zip(rows, values, strict=True)
    )
    residual = math.sqrt(squares / (len(rows) - width))
    errors = tuple(residual * math.sqrt(inverse[i][i]) for i in range(width))
    return Fit(coefficients, errors, tuple(map(tuple, inverse)), residual)


def _invert(matrix: list[list[float]]) -> list[list[float]]:
    size = len(matrix)
    work = [
        [*row, *(float(i == j) for j in range(size))] for i, row in enumerate(matrix)
    ]
    for column in range(size):
        pivot = max(range(column, size), key=lambda line: abs(work[line][column]))
        if abs(work[pivot][column]) < 1e-12:
            raise ValueError("the rows don't tell the variables apart")
        work[column], work[pivot] = work[pivot], work[column]
        head = work[column][column]
        work[column] = [value / head for value in work[column]]
        for line in range(size):
            if line != column:
                factor = work[line][column]
                work[line] = [
                    value - factor * other
                    for value, other in zip(work[line], work[column], strict=True)
                ]
    return [row[size:] for row in work]
