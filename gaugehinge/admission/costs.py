"""Estimates the CPU time that an operation takes of this router, so that not all cost the same. No I/O.

Each sample of the process's CPU time is explained by the operations that ended in it and the bytes that they
transferred: cpu = per_operation * operations + per_byte * bytes, by least squares with exponential
forgetting.
"""

from __future__ import annotations

DECAY = 0.98  # per sample; the last few seconds count
INITIAL_OPERATION_COST = 0.0004  # seconds, until measured
INITIAL_BYTE_COST = 2e-9
MIN_OPERATION_COST, MAX_OPERATION_COST = 2e-5, 0.02
MAX_BYTE_COST = 1e-7
SMOOTHING_FACTOR = 0.1  # weight of an operation in its traffic type's mean bytes


class CostEstimator:
    """Costs in CPU seconds; a fixed number of values and one per traffic type."""

    def __init__(self, rows: int) -> None:
        self.per_operation = INITIAL_OPERATION_COST
        self.per_byte = INITIAL_BYTE_COST
        self.mean_bytes = [1024.0] * rows  # transferred by an operation of each type, smoothed
        self._operations = 0
        self._transferred = 0.0
        # Normal equations of the fit, initialised with a prior worth a few samples of a hundred operations
        # each.
        self._nn, self._nb, self._bb = 5e4, 0.0, 5e10
        self._nc, self._bc = INITIAL_OPERATION_COST * 5e4, INITIAL_BYTE_COST * 5e10

    def cost(self, row: int, known_bytes: int) -> float:
        """CPU seconds that an operation is expected to take; `known_bytes` of it have come already."""
        return self.per_operation + self.per_byte * max(self.mean_bytes[row], known_bytes)

    def record(self, row: int, transferred: int) -> None:
        """Count an operation that ended and the bytes transferred for it in both directions."""
        self.mean_bytes[row] += SMOOTHING_FACTOR * (transferred - self.mean_bytes[row])
        self._operations += 1
        self._transferred += transferred

    def sample(self, cpu: float) -> None:
        """Fit the costs to the CPU seconds used since the last sample."""
        n, b = float(self._operations), self._transferred
        self._operations, self._transferred = 0, 0.0
        if not n or cpu <= 0.0:
            return
        self._nn = DECAY * self._nn + n * n
        self._nb = DECAY * self._nb + n * b
        self._bb = DECAY * self._bb + b * b
        self._nc = DECAY * self._nc + n * cpu
        self._bc = DECAY * self._bc + b * cpu
        self._solve()

    def _solve(self) -> None:
        determinant = self._nn * self._bb - self._nb * self._nb
        if determinant > 1e-6 * self._nn * self._bb:
            per_operation = (self._nc * self._bb - self._bc * self._nb) / determinant
            per_byte = (self._bc * self._nn - self._nc * self._nb) / determinant
        else:  # all of one size: the two costs cannot be told apart
            per_operation, per_byte = self._nc / self._nn - self.per_byte * self._nb / self._nn, self.per_byte
        if per_byte < 0.0:
            per_operation, per_byte = self._nc / self._nn, 0.0
        self.per_operation = min(max(per_operation, MIN_OPERATION_COST), MAX_OPERATION_COST)
        self.per_byte = min(per_byte, MAX_BYTE_COST)
