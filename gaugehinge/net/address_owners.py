"""Finds out which listed server an address belongs to, where the list names several. No I/O.

A process may come up at the address of one that has gone before the list says that it has. Connections to the
former server would reach the new one.
"""

from __future__ import annotations

from dataclasses import replace

from loguru import logger

from ..routing.types import EndpointState
from .configuration import Address
from .endpoint_list import EndpointListUpdate, EndpointTarget


class AddressOwners:
    """The listed servers, of which at most one is taken to be at an address.

    The owner is the server that started last. With equal starts it is the one that the list named last; two
    that it named at once both stay.
    """

    def __init__(self) -> None:
        """Start with no servers."""
        self._targets: dict[int, EndpointTarget] = {}  # by endpoint number

    def apply(self, update: EndpointListUpdate) -> EndpointListUpdate:
        """Apply an update; returns it with the servers that are no longer at their address as gone."""
        known = self._targets
        listed = {target.entry.ident for target in update.targets}
        current = {ident: target for ident, target in known.items() if not update.complete or ident in listed}
        for target in update.targets:
            _apply_target(current, target)
        replaced = {target.entry.ident for target in _find_replaced(current, known)}
        self._targets = {ident: target for ident, target in current.items() if ident not in replaced}
        if not replaced:
            return update
        kept = tuple(target for target in update.targets if target.entry.ident not in replaced)
        gone = tuple(_as_gone(current[ident]) for ident in replaced)
        return replace(update, targets=gone + kept)


def _apply_target(current: dict[int, EndpointTarget], target: EndpointTarget) -> None:
    ident = target.entry.ident
    former = current.get(ident)
    if target.address is None:
        current.pop(ident, None)
    elif former is None or target.entry.started >= former.entry.started:
        current[ident] = target


def _find_replaced(
    current: dict[int, EndpointTarget], known: dict[int, EndpointTarget]
) -> list[EndpointTarget]:
    by_address: dict[Address | None, list[EndpointTarget]] = {}
    for target in current.values():
        by_address.setdefault(target.address, []).append(target)
    replaced = []
    for targets in by_address.values():
        if len(targets) > 1:
            last = max(_rank(target, known) for target in targets)
            replaced += [target for target in targets if _rank(target, known) < last]
    return replaced


def _rank(target: EndpointTarget, known: dict[int, EndpointTarget]) -> tuple[float, bool]:
    """Rank a server by its start, then by whether it is new at its address."""
    former = known.get(target.entry.ident)
    return target.entry.started, former is None or former.address != target.address


def _as_gone(target: EndpointTarget) -> EndpointTarget:
    logger.info("server {} is gone: another one is listed at its address", target.uid)
    entry = target.entry._replace(state=EndpointState.GONE)
    return target._replace(entry=entry, address=None)
