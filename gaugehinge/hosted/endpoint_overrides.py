"""Combines the operators' drain orders with the endpoint list from discovery. Does no I/O.

A server accepts new operations only if both allow it: it drains if either says so. An order stays in force
until it is withdrawn, even if the server goes away and returns; a drain by discovery outlasts the end of an
order.
"""

from __future__ import annotations

from ..net.endpoint_list import EndpointListUpdate, EndpointTarget
from ..routing.types import EndpointState


class EndpointOverrides:
    """The endpoint list as discovery sent it and as routing sees it. Grows and shrinks with it."""

    def __init__(self) -> None:
        """Start without endpoints and drain orders."""
        self.drained: frozenset[str] = frozenset()  # by the names (UIDs) in the endpoint list
        self.log: list[str] = []  # messages to be logged; the caller empties it
        self._discovered: dict[str, EndpointTarget] = {}  # by UID, without those that are gone
        self._revision = 0

    @property
    def discovered(self) -> list[EndpointTarget]:
        """The endpoint list from discovery, without drain orders."""
        return list(self._discovered.values())

    def on_endpoints_changed(self, update: EndpointListUpdate) -> EndpointListUpdate:
        """Record a list or changes from discovery; return them with the drain orders applied."""
        if update.complete:
            self._discovered.clear()
        for target in update.targets:
            if target.entry.state is EndpointState.GONE:
                self._discovered.pop(target.uid, None)
            else:
                self._discovered[target.uid] = target
        self._revision = update.rev
        return EndpointListUpdate(update.rev, update.complete, tuple(map(self._overridden, update.targets)))

    def set_drained(self, drained: frozenset[str]) -> EndpointListUpdate | None:
        """Replace all drain orders; return the resulting endpoint changes, None if there are none."""
        changed = sorted(drained ^ self.drained)
        self.drained = drained
        for uid in changed:
            what = "is drained by an operator" if uid in drained else "is no longer drained by an operator"
            self.log.append(f"server {uid} {what}: {len(drained)} drain orders in force")
        targets = [self._overridden(self._discovered[uid]) for uid in changed if uid in self._discovered]
        return EndpointListUpdate(self._revision, False, tuple(targets)) if targets else None

    def _overridden(self, target: EndpointTarget) -> EndpointTarget:
        if target.uid not in self.drained or target.entry.state is not EndpointState.UP:
            return target
        return target._replace(entry=target.entry._replace(state=EndpointState.DRAINING))
