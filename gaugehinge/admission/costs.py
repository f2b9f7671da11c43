"""What an operation uses of this router's CPU: measured, not one each. No I/O.

Each sample of the process's CPU time is explained by the operations that ended in it and the bytes they
moved: cpu = each * operations + byte * bytes, by least squares with forgetting.
"""

from __future__ import annotations

DECAY = 0.98  # a sample; the last some seconds count
INITIAL_OPERATION_COST = 0.0004  # seconds an operation, until measured
INITIAL_BYTE_COST = 2e-9
MIN_OPERATION_COST, MAX_OPERATION_COST = 2e-5, 0.02
MAX_BYTE_COST = 1e-7
SMOOTHING_FACTOR = 0.1  # of a traffic type's mean bytes, each operation


class CostEstimator:
    """Costs in seconds of CPU; a fixed number of figures and one a traffic type."""

    def __init__(self, rows: int) -> None:
        self.per_operation = INITIAL_OPERATION_COST
        self.per_byte = INITIAL_BYTE_COST
        self.mean_bytes = [1024.0] * rows  # that an operation of a type moves, smoothed
        self._operations = 0
        self._transferred = 0.0
        # Normal equations of the fit, begun with a belief worth a few samples of a hundred operations each.
        self._nn, self._nb, self._bb = 5e4, 0.0, 5e10
        self._nc, self._bc = INITIAL_OPERATION_COST * 5e4, INITIAL_BYTE_COST * 5e10

    def cost(self, row: int, known_bytes: int) -> float:
        """What an operation of a type will use; `known` bytes have come already."""
        return self.per_operation + self.per_byte * max(self.mean_bytes[row], known_bytes)

    def record(self, row: int, transferred: int) -> None:
        """An operation ended; so many bytes went in and out for it."""
        self.mean_bytes[row] += SMOOTHING_FACTOR * (transferred - self.mean_bytes[row])
        self._operations += 1
        self._transferred += transferred

    def sample(self, cpu: float) -> None:
        """So much CPU was used since the last sample."""
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
        else:  # all of one size: their parts cannot be told apart
            per_operation, per_byte = self._nc / self._nn - self.per_byte * self._nb / self._nn, self.per_byte
        if per_byte < 0.0:
            per_operation, per_byte = self._nc / self._nn, 0.0
        self.per_operation = min(max(per_operation, MIN_OPERATION_COST), MAX_OPERATION_COST)
        self.per_byte = min(per_byte, MAX_BYTE_COST)
