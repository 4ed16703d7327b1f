"""
Fits a few variables by ordinary least squares, with standard errors.

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
    """Coefficients and their standard errors, with what ``predict`` needs."""

    coefficients: tuple[float, ...]
    errors: tuple[float, ...]
    inverse: tuple[Row, ...]
    residual: float

    def predict(self, row: Row) -> Prediction:
        """Return the value at a row; the error is that of the fitted mean."""
        value = sum(a * b for a, b in zip(self.coefficients, row, strict=True))
        leverage = sum(
            row[i] * self.inverse[i][j] * row[j]
            for i in range(len(row))
            for j in range(len(row))
        )
        return Prediction(value, self.residual * math.sqrt(max(0.0, leverage)))


def fit_line(rows: typing.Sequence[Row], values: typing.Sequence[float]) -> Fit:
    """Return the fit; raise ValueError for too few or linearly dependent rows."""
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
    residual_squares = sum(
        (value - sum(a * b for a, b in zip(coefficients, row, strict=True))) ** 2
        for row, value in zip(rows, values, strict=True)
    )
    residual = math.sqrt(residual_squares / (len(rows) - width))
    errors = tuple(residual * math.sqrt(inverse[i][i]) for i in range(width))
    return Fit(coefficients, errors, tuple(map(tuple, inverse)), residual)


def _invert(matrix: list[list[float]]) -> list[list[float]]:
    size = len(matrix)
    augmented = [
        [*row, *(float(i == j) for j in range(size))] for i, row in enumerate(matrix)
    ]
    for column in range(size):
        pivot = max(
            range(column, size), key=lambda row_index: abs(augmented[row_index][column])
        )
        if abs(augmented[pivot][column]) < 1e-12:
            raise ValueError("the variables are linearly dependent in these rows")
        augmented[column], augmented[pivot] = augmented[pivot], augmented[column]
        pivot_value = augmented[column][column]
        augmented[column] = [value / pivot_value for value in augmented[column]]
        for row_index in range(size):
            if row_index != column:
                factor = augmented[row_index][column]
                augmented[row_index] = [
                    value - factor * pivot_element
                    for value, pivot_element in zip(
                        augmented[row_index], augmented[column], strict=True
                    )
                ]
    return [row[size:] for row in augmented]
