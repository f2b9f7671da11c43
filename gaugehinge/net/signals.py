"""Handles signals that arrive before the service's signal receiver opens or after it closes."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from contextlib import contextmanager

TERMINATION_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def ignore_while_exiting() -> None:
    """Ignore SIGHUP and termination signals from now on.

    The interpreter resets handlers while it exits, and a signal would then change the exit code.
    """
    for number in (signal.SIGHUP, *TERMINATION_SIGNALS):
        signal.signal(number, signal.SIG_IGN)


class EarlyHangup:
    """Remembers a SIGHUP that arrived before the service received signals.

    Without a handler, SIGHUP ends the process. When it was ignored, a configuration file that
    changed after it had been read was not reloaded, and the router kept the old discovery address.
    """

    __slots__ = ("received",)

    def __init__(self) -> None:
        """Start with no signal received."""
        self.received = False

    def listen(self) -> EarlyHangup:
        """Handle SIGHUP from now on. Call it in the main thread, before the configuration is read."""
        signal.signal(signal.SIGHUP, self._on_signal)
        return self

    def take(self) -> bool:
        """Return whether SIGHUP arrived, and forget it.

        Call it once the signal receiver is open, so that no signal is missed in between.
        """
        received, self.received = self.received, False
        return received

    def _on_signal(self, number: int, frame: object) -> None:
        self.received = True


class TerminationFlag:
    """Remembers a termination signal that arrived just before the receiver opened or after it closed.

    A termination signal that was still pending when the receiver closed was delivered again, and ended the
    process by the signal instead of with exit code 0.
    """

    __slots__ = ("received",)

    def __init__(self) -> None:
        """Start with no signal received."""
        self.received = False

    @contextmanager
    def handling(self) -> Iterator[None]:
        """Handle termination signals within the block and restore the previous handlers after it."""
        previous = {number: signal.signal(number, self._on_signal) for number in TERMINATION_SIGNALS}
        try:
            yield
        finally:
            for number, handler in previous.items():
                signal.signal(number, handler)

    def _on_signal(self, number: int, frame: object) -> None:
        self.received = True
