"""`python -m gaugehinge`: runs one router with the configuration file that LB_CONFIG names."""

import os
import sys

from .net.signals import EarlyHangup, ignore_while_exiting

LOG_FORMAT = "{time:HH:mm:ss.SSS} {level.name} {message}"


def main() -> int:
    """Serve until a termination signal; return the exit code, which is 2 for a bad configuration.

    All other modules are imported after the SIGHUP handler is installed: without the handler the signal would
    end the process.
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
