"""Decoding of discovery's JSON endpoint list: all servers, or only the changes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from xxhash import xxh64_intdigest

from ..routing.types import EndpointEntry, EndpointState
from ..settings import SettingsReader, parse_non_negative
from .configuration import Address, address

ENDPOINT_STATES = {"ready": EndpointState.UP, "draining": EndpointState.DRAINING, "gone": EndpointState.GONE}
MILLISECONDS_PER_SECOND = 1000.0
NO_CELL = -1  # lowest valid `pod_group`


class EndpointTarget(NamedTuple):
    """One server of the list and its address."""

    entry: EndpointEntry
    uid: str
    address: Address | None  # None: the server is gone


@dataclass(slots=True, frozen=True)
class EndpointListUpdate:
    """The endpoint list, or the changes to it."""

    rev: int  # discovery's version of the list
    complete: bool  # whether servers that are not listed are gone
    targets: tuple[EndpointTarget, ...]


def read_endpoint_list(value: Any) -> EndpointListUpdate:
    """Return the update in discovery's decoded JSON.

    Raises SettingsError: one invalid entry invalidates the whole update, which then counts as a failed poll.
    """
    reader = SettingsReader(value)
    return EndpointListUpdate(
        int(reader.number("rev")),
        reader.flag("all"),
        tuple(_read_target(entry) for entry in reader.sections("targets")),
    )


def _read_target(reader: SettingsReader) -> EndpointTarget:
    # An unknown state may mean anything, so the server counts as draining: nothing new is sent to it.
    state = ENDPOINT_STATES.get(reader.text("state", "ready"), EndpointState.DRAINING)
    gone = state is EndpointState.GONE
    target_address = None if gone else address(reader.text("endpoint"), f"{reader.path}.endpoint")
    # The hash ring must be the same on all routers, and only the `uid` is the same on all of them.
    uid = reader.text("uid")
    endpoint_id = xxh64_intdigest(uid.encode())
    started = reader.number("boot_ms", 0) / MILLISECONDS_PER_SECOND
    cell = int(reader.number("pod_group", 0, minimum=NO_CELL))
    weight = _read_weight(reader)
    zone, kind = reader.text("az", ""), reader.text("model", "")
    entry = EndpointEntry(endpoint_id, zone, kind, cell, state, started, weight)
    return EndpointTarget(entry, uid, target_address)


def _read_weight(reader: SettingsReader) -> float:
    """Return the capacity hint; 0 if it is missing or invalid."""
    hint = reader.values.get("capacity_hint")
    return 0.0 if isinstance(hint, bool) else parse_non_negative(str(hint)) or 0.0
