"""`python -m gaugehinge.simhost`: reads the bench wire on standard input, answers on standard output."""

import gc
import io
import sys

from .host import Host


def main() -> int:
    gc.freeze()
    gc.set_threshold(50_000, 20, 20)  # few cycles arise; the default passes cost a tenth of the time
    source = io.TextIOWrapper(sys.stdin.buffer, encoding="utf-8", newline="\n")
    sink = io.TextIOWrapper(sys.stdout.buffer, encoding="utf-8", newline="\n", write_through=False)
    return Host(source, sink).run()


if __name__ == "__main__":
    sys.exit(main())
