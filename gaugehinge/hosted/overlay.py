"""Orders of operators beside the word of discovery, on one list of servers. No I/O.

A server takes something new only where both let it: told to drain by either, it drains. An order stands until
it is taken back, also over a server's end and return; discovery's own drain outlives an order's end.
"""

from __future__ import annotations

from ..net.endpoint_list import EndpointListUpdate, EndpointTarget
from ..routing.types import EndpointState


class Overlay:
    """The list as discovery told it, and as the decisions are to see it. As long as the list."""

    def __init__(self) -> None:
        self.drained: frozenset[str] = frozenset()
        self.log: list[str] = []  # emptied by the driver
        self._told: dict[str, EndpointTarget] = {}  # by the list's names, without those that are gone
        self._rev = 0

    @property
    def told(self) -> list[EndpointTarget]:
        """The list by discovery's word alone."""
        return list(self._told.values())

    def on_endpoints_changed(self, update: EndpointListUpdate) -> EndpointListUpdate:
        """Discovery's list or changes of it, with the orders laid over."""
        if update.complete:
            self._told.clear()
        for target in update.targets:
            if target.entry.state is EndpointState.GONE:
                self._told.pop(target.uid, None)
            else:
                self._told[target.uid] = target
        self._rev = update.rev
        return EndpointListUpdate(update.rev, update.complete, tuple(map(self._laid, update.targets)))

    def order(self, drained: frozenset[str]) -> EndpointListUpdate | None:
        """All orders that stand now; the changes of the list that follow, None where there is none."""
        changed = drained ^ self.drained
        self.drained = drained
        for uid in sorted(changed):
            word = "drains by order" if uid in drained else "is discovery's again"
            self.log.append(f"server {uid} {word}: {len(drained)} orders stand")
        targets = tuple(self._laid(self._told[uid]) for uid in sorted(changed) if uid in self._told)
        return EndpointListUpdate(self._rev, False, targets) if targets else None

    def _laid(self, target: EndpointTarget) -> EndpointTarget:
        if target.uid not in self.drained or target.entry.state is not EndpointState.UP:
            return target
        return target._replace(entry=target.entry._replace(state=EndpointState.DRAINING))
