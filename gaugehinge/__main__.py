"""`python -m gaugehinge`: one router, by the configuration that LB_CONFIG names."""

import gc
import os
import signal
import sys

import trio
from loguru import logger

from .charter import BadCharter
from .net.berth import read_berth
from .net.service import Service

FORM = "{time:HH:mm:ss.SSS} {level.name} {message}"


def main() -> int:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # it ends a process that does not hear it yet, or no more
    logger.remove()
    logger.add(sys.stderr, format=FORM, level="INFO", diagnose=False)
    try:
        berth = read_berth(os.environ)
    except BadCharter as bad:
        print(f"bad configuration: {bad}", file=sys.stderr)
        return 2
    gc.freeze()
    gc.set_threshold(20_000, 20, 20)  # passes over what lives long cost answers their time
    try:
        trio.run(Service(berth, os.environ).run)
    except OSError as bad:
        print(f"cannot serve at {berth.listen[0]}:{berth.listen[1]}: {bad}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
