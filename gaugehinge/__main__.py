"""`python -m gaugehinge`: one router, by the configuration that LB_CONFIG names."""

import os
import sys

from .net.signals import EarlyHangup, ignore_while_exiting

LOG_FORMAT = "{time:HH:mm:ss.SSS} {level.name} {message}"


def main() -> int:
    """Serve until ordered to end; the exit code: 2 for a bad configuration.

    All else is imported behind the handler of SIGHUP: without it the signal ends the process.
    """
    early_hangup = EarlyHangup().listen()
    try:
        return _serve(early_hangup)
    finally:
        ignore_while_exiting()


def _serve(early_hangup: EarlyHangup) -> int:
    from functools import partial

    from loguru import logger

    from .net.configuration import read_configuration
    from .net.run import run
    from .settings import SettingsError

    logger.remove()
    logger.add(sys.stderr, format=LOG_FORMAT, level="INFO", diagnose=False)
    try:
        configuration = read_configuration(os.environ)
    except SettingsError as error:
        print(f"bad configuration: {error}", file=sys.stderr)
        return 2
    return run(configuration, partial(read_configuration, os.environ), early_hangup=early_hangup)


if __name__ == "__main__":
    sys.exit(main())
