"""`python -m gaugehinge`: one router, by the configuration that LB_CONFIG names."""

import os
import sys
from functools import partial

from loguru import logger

from .net.configuration import read_configuration
from .net.early import EarlyHangup
from .net.run import run
from .settings import SettingsError

FORM = "{time:HH:mm:ss.SSS} {level.name} {message}"


def main() -> int:
    early = EarlyHangup().listen()
    logger.remove()
    logger.add(sys.stderr, format=FORM, level="INFO", diagnose=False)
    try:
        configuration = read_configuration(os.environ)
    except SettingsError as bad:
        print(f"bad configuration: {bad}", file=sys.stderr)
        return 2
    return run(configuration, partial(read_configuration, os.environ), early=early)


if __name__ == "__main__":
    sys.exit(main())
