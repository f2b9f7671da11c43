"""Stops connection reuse while many of the origin's values end like the start of a response. No I/O.

On a connection that has carried a response, such a value is doubtful and is fetched again on a new
connection. An origin whose values all end like this would run every request twice.
"""

from __future__ import annotations

from .response_memory import ends_in_response_start

# Number of responses. Two doubtful endings within this many stop the reuse of connections, and this many
# ordinary endings in a row resume it: at most two of 18 responses are doubtful, whatever their order.
ENDING_WINDOW = 16


class ResponseEndings:
    """Tracks the endings of the last responses on all connections."""

    __slots__ = ("_ordinary_remaining", "_since_doubt")

    def __init__(self) -> None:
        """Start with no doubtful ending."""
        self._since_doubt = ENDING_WINDOW
        self._ordinary_remaining = 0

    @property
    def are_ambiguous(self) -> bool:
        """Whether each connection is closed after one response."""
        return self._ordinary_remaining > 0

    def on_response(self, body: bytes, is_in_doubt: bool) -> None:
        """Record a response's body; `is_in_doubt`: its ending made it doubtful, on a reused connection."""
        is_second_doubt = is_in_doubt and self._since_doubt < ENDING_WINDOW
        self._since_doubt = 0 if is_in_doubt else self._since_doubt + 1
        if is_second_doubt or (self.are_ambiguous and ends_in_response_start(body)):
            self._ordinary_remaining = ENDING_WINDOW
        elif self.are_ambiguous:
            self._ordinary_remaining -= 1
