"""Signals that come while no receiver of the service stands: before it, and just behind it."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from contextlib import contextmanager

TERMINATION_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def ignore_while_exiting() -> None:
    """Ignore orders: the interpreter resets handlers as it ends, and a signal would change its exit code."""
    for number in (signal.SIGHUP, *TERMINATION_SIGNALS):
        signal.signal(number, signal.SIG_IGN)


class EarlyHangup:
    """Remembers that a SIGHUP came while nobody received signals yet.

    Without a handler it ends the process; ignored, a file that changed after the start had read it was
    never read again, and the router went on with the old discovery.
    """

    __slots__ = ("received",)

    def __init__(self) -> None:
        """Nothing came yet."""
        self.received = False

    def listen(self) -> EarlyHangup:
        """Handle SIGHUP from now on; from the process's main thread, before the configuration is read."""
        signal.signal(signal.SIGHUP, self._on_signal)
        return self

    def take(self) -> bool:
        """Whether one came; said once. Asked when signals have a receiver, so that none falls between."""
        received, self.received = self.received, False
        return received

    def _on_signal(self, number: int, frame: object) -> None:
        self.received = True


class TerminationFlag:
    """Remembers an order to end that came just before signals had their receiver, or behind it.

    An order to end that was still pending as the receiver closed was delivered once more, and ended the
    process by the signal in place of 0.
    """

    __slots__ = ("received",)

    def __init__(self) -> None:
        """Nothing came yet."""
        self.received = False

    @contextmanager
    def handling(self) -> Iterator[None]:
        """Handle the orders to end within the block, and as before behind it."""
        previous = {number: signal.signal(number, self._on_signal) for number in TERMINATION_SIGNALS}
        try:
            yield
        finally:
            for number, handler in previous.items():
                signal.signal(number, handler)

    def _on_signal(self, number: int, frame: object) -> None:
        self.received = True
