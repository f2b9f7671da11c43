"""A router that holds its grant for ever: `python -m gaugehinge.rehearsal.faultydrains serve FILE`.

The shipped command with one fault in it, by which plays of drains are tried: what a lease is for is gone.
"""

from __future__ import annotations

import runpy

from ..drains.grants import Holding, figure


def _most(self: Holding, store: str, now: float) -> int:
    return figure(self.values or self.floors, store)


if __name__ == "__main__":
    Holding.most = _most
    runpy.run_module("gaugehinge.cli", run_name="__main__", alter_sys=True)
