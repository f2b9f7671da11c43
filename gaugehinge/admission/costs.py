"""What an operation uses of this router's CPU: measured, not one each. No I/O.

Each sample of the process's CPU time is explained by the operations that ended in it and the bytes they
moved: cpu = each * operations + byte * bytes, by least squares with forgetting.
"""

from __future__ import annotations

FORGET = 0.98  # a sample; the last some seconds count
FIRST_EACH = 0.0004  # seconds an operation, until measured
FIRST_BYTE = 2e-9
LEAST_EACH, MOST_EACH = 2e-5, 0.02
MOST_BYTE = 1e-7
LEARN = 0.1  # of a traffic type's mean bytes, each operation


class Costs:
    """Costs in seconds of CPU; a fixed number of figures and one a traffic type."""

    def __init__(self, rows: int) -> None:
        self.each = FIRST_EACH
        self.byte = FIRST_BYTE
        self.bytes = [1024.0] * rows  # that an operation of a type moves, smoothed
        self._operations = 0
        self._moved = 0.0
        # Normal equations of the fit, begun with a belief worth a few samples of a hundred operations each.
        self._nn, self._nb, self._bb = 5e4, 0.0, 5e10
        self._nc, self._bc = FIRST_EACH * 5e4, FIRST_BYTE * 5e10

    def cost(self, row: int, known: int) -> float:
        """What an operation of a type will use; `known` bytes have come already."""
        return self.each + self.byte * max(self.bytes[row], known)

    def ended(self, row: int, moved: int) -> None:
        """An operation ended; so many bytes went in and out for it."""
        self.bytes[row] += LEARN * (moved - self.bytes[row])
        self._operations += 1
        self._moved += moved

    def sample(self, cpu: float) -> None:
        """So much CPU was used since the last sample."""
        n, b = float(self._operations), self._moved
        self._operations, self._moved = 0, 0.0
        if not n or cpu <= 0.0:
            return
        self._nn = FORGET * self._nn + n * n
        self._nb = FORGET * self._nb + n * b
        self._bb = FORGET * self._bb + b * b
        self._nc = FORGET * self._nc + n * cpu
        self._bc = FORGET * self._bc + b * cpu
        self._solve()

    def _solve(self) -> None:
        determinant = self._nn * self._bb - self._nb * self._nb
        if determinant > 1e-6 * self._nn * self._bb:
            each = (self._nc * self._bb - self._bc * self._nb) / determinant
            byte = (self._bc * self._nn - self._nc * self._nb) / determinant
        else:  # all of one size: their parts cannot be told apart
            each, byte = self._nc / self._nn - self.byte * self._nb / self._nn, self.byte
        if byte < 0.0:
            each, byte = self._nc / self._nn, 0.0
        self.each = min(max(each, LEAST_EACH), MOST_EACH)
        self.byte = min(byte, MOST_BYTE)
