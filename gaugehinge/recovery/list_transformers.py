"""The two places at which recovery takes part in the way of endpoint lists.

The gate is the first of all: nobody behind it sees a list before it is decided what of it to believe. The
believed starts come last: all other extensions, and the keeper through them, see starts as discovery told
them.
"""

from __future__ import annotations

from collections.abc import Callable

from ..net.endpoint_list import EndpointListUpdate


class ListGate:
    """Holds lists back until the router has decided how much was lost."""

    def __init__(self, gate: Callable[[EndpointListUpdate, bool], EndpointListUpdate | None]) -> None:
        """`gate`: what `transform` is to do."""
        self._gate = gate

    def transform(self, update: EndpointListUpdate, cached: bool) -> EndpointListUpdate | None:
        """The update itself, or None while it is held back."""
        return self._gate(update, cached)


class EstimatedStarts:
    """Puts the times at which servers are believed to have started in place of those that were told."""

    def __init__(self, estimate: Callable[[EndpointListUpdate, bool], EndpointListUpdate]) -> None:
        """`believe`: what `transform` is to do."""
        self._estimate = estimate

    def transform(self, update: EndpointListUpdate, cached: bool) -> EndpointListUpdate:
        """The update with the believed starts."""
        return self._estimate(update, cached)
