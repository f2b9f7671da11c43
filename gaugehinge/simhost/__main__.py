"""`python -m gaugehinge.simhost`: the simulator's wire on standard input and output."""

import gc
import io
import sys

from .host import Host

GC_THRESHOLDS = (50_000, 20, 20)  # few cycles arise; the default passes cost a tenth of the time


def main() -> int:
    """Run the host until its input ends; return the exit status."""
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    source = io.TextIOWrapper(sys.stdin.buffer, encoding="utf-8", newline="\n")
    sink = io.TextIOWrapper(sys.stdout.buffer, encoding="utf-8", newline="\n", write_through=False)
    return Host(source, sink).run()


if __name__ == "__main__":
    sys.exit(main())
