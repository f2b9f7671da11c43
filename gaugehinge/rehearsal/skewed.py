"""`python -m gaugehinge.rehearsal.skewed OFFSET serve FILE`: the command, with a wall clock that is off.

The monotonic clock stays the machine's. Nothing of the program knows of it: `time.time` is another one before
anything else is imported.
"""

import runpy
import sys
import time


def skew(offset: float) -> None:
    """From now on the wall clock of this process is off by so many seconds."""
    right, right_ns = time.time, time.time_ns
    time.time = lambda: right() + offset
    time.time_ns = lambda: right_ns() + int(offset * 1e9)


if __name__ == "__main__":
    skew(float(sys.argv.pop(1)))
    runpy.run_module("gaugehinge.cli", run_name="__main__", alter_sys=True)
