"""Whether the origin's values end so often as a response begins that its connections are used once. No I/O.

On a connection that has carried a response such a value is in doubt, and is fetched again on a new one. An
origin all of whose values end so would run every request twice.
"""

from __future__ import annotations

from .response_memory import ends_in_response_start

# Responses. Two doubts within so many end the reuse of connections, and so many ordinary endings in a row
# begin it again: two of 18 responses are in doubt at most, in whatever order they come.
ENDING_WINDOW = 16


class ResponseEndings:
    """The endings of the last responses, on all connections."""

    __slots__ = ("_ordinary_remaining", "_since_doubt")

    def __init__(self) -> None:
        """None was in doubt so far."""
        self._since_doubt = ENDING_WINDOW
        self._ordinary_remaining = 0

    @property
    def are_ambiguous(self) -> bool:
        """Whether a connection is closed after each response."""
        return self._ordinary_remaining > 0

    def on_response(self, body: bytes, is_in_doubt: bool) -> None:
        """Take a response's body; `is_in_doubt`: for its ending, on a connection that was used before."""
        is_second_doubt = is_in_doubt and self._since_doubt < ENDING_WINDOW
        self._since_doubt = 0 if is_in_doubt else self._since_doubt + 1
        if is_second_doubt or (self.are_ambiguous and ends_in_response_start(body)):
            self._ordinary_remaining = ENDING_WINDOW
        elif self.are_ambiguous:
            self._ordinary_remaining -= 1
