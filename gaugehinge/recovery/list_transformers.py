"""The two transformers with which recovery takes part in processing endpoint lists.

The gate comes first: nothing behind it sees a list before recovery has decided how far to trust it. The
estimated start times come last: all other extensions, and through them the control plane, see the start times
that discovery reported.
"""

from __future__ import annotations

from collections.abc import Callable

from ..net.endpoint_list import EndpointListUpdate


class ListGate:
    """Holds lists back until the router has decided how much was lost."""

    def __init__(self, gate: Callable[[EndpointListUpdate, bool], EndpointListUpdate | None]) -> None:
        """`gate`: the function that `transform` calls."""
        self._gate = gate

    def transform(self, update: EndpointListUpdate, cached: bool) -> EndpointListUpdate | None:
        """Returns the update itself, or None while it is held back."""
        return self._gate(update, cached)


class EstimatedStarts:
    """Replaces the start times that discovery reported with estimated ones."""

    def __init__(self, estimate: Callable[[EndpointListUpdate, bool], EndpointListUpdate]) -> None:
        """`estimate`: the function that `transform` calls."""
        self._estimate = estimate

    def transform(self, update: EndpointListUpdate, cached: bool) -> EndpointListUpdate:
        """Returns the update with estimated start times."""
        return self._estimate(update, cached)
