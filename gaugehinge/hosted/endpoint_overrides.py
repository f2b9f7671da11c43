"""Operators' orders to drain beside the word of discovery, on one list of servers. No I/O.

A server takes something new only where both let it: told to drain by either, it drains. An order stands until
it is taken back, also over a server's end and return; discovery's own drain outlives an order's end.
"""

from __future__ import annotations

from ..net.endpoint_list import EndpointListUpdate, EndpointTarget
from ..routing.types import EndpointState


class EndpointOverrides:
    """The list as discovery told it, and as the decisions are to see it. As long as the list."""

    def __init__(self) -> None:
        """No list and no order yet."""
        self.drained: frozenset[str] = frozenset()  # by the list's names
        self.log: list[str] = []  # emptied by the driver
        self._discovered: dict[str, EndpointTarget] = {}  # by the list's names, without those that are gone
        self._revision = 0

    @property
    def discovered(self) -> list[EndpointTarget]:
        """The list by discovery's word alone."""
        return list(self._discovered.values())

    def on_endpoints_changed(self, update: EndpointListUpdate) -> EndpointListUpdate:
        """Discovery's list or changes of it, with the orders laid over."""
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
        """All orders that stand now; the changes of the list that follow, None where there is none."""
        changed = sorted(drained ^ self.drained)
        self.drained = drained
        for uid in changed:
            what = "drains by order" if uid in drained else "is discovery's again"
            self.log.append(f"server {uid} {what}: {len(drained)} orders stand")
        targets = [self._overridden(self._discovered[uid]) for uid in changed if uid in self._discovered]
        return EndpointListUpdate(self._revision, False, tuple(targets)) if targets else None

    def _overridden(self, target: EndpointTarget) -> EndpointTarget:
        if target.uid not in self.drained or target.entry.state is not EndpointState.UP:
            return target
        return target._replace(entry=target.entry._replace(state=EndpointState.DRAINING))
