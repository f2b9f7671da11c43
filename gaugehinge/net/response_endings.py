"""Whether the origin's values end so often as a response begins that its connections are used once. No I/O.

On a connection that has carried a response such a value is in doubt, and is fetched again on a new one. An
origin all of whose values end so would run every request twice.
"""

from __future__ import annotations

from .response_memory import ends_in_response_start

# In a row, until connections are used again. With a share p of ambiguous endings at most p (1 - p)^16 of all
# requests are made again: 2.2% at any share.
ORDINARY_RESPONSES = 16


class ResponseEndings:
    """The endings of the last responses, on all connections."""

    __slots__ = ("_ordinary_wanted",)

    def __init__(self) -> None:
        """None was in doubt so far."""
        self._ordinary_wanted = 0

    @property
    def are_ambiguous(self) -> bool:
        """Whether a connection is closed after each response."""
        return self._ordinary_wanted > 0

    def on_response(self, body: bytes, is_in_doubt: bool) -> None:
        """Take a response's body; `is_in_doubt`: for its ending, on a connection that was used before."""
        if is_in_doubt or (self.are_ambiguous and ends_in_response_start(body)):
            self._ordinary_wanted = ORDINARY_RESPONSES
        elif self.are_ambiguous:
            self._ordinary_wanted -= 1
