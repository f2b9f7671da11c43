"""`python -m gaugehinge.simhost`: the simulator's line protocol on standard input and output."""

import gc
import io
import sys

from .host import Host

# Few reference cycles arise, and collection at the default thresholds took a tenth of the run time.
GC_THRESHOLDS = (50_000, 20, 20)


def main() -> int:
    """Run the host until its input ends, and return the exit code."""
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    source = io.TextIOWrapper(sys.stdin.buffer, encoding="utf-8", newline="\n")
    sink = io.TextIOWrapper(sys.stdout.buffer, encoding="utf-8", newline="\n", write_through=False)
    return Host(source, sink).run()


if __name__ == "__main__":
    sys.exit(main())
