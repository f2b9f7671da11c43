"""The list of servers in discovery's form: the whole of it, or what changed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from xxhash import xxh64_intdigest

from ..routing.types import EndpointEntry, EndpointState
from ..settings import SettingsReader, parse_non_negative
from .configuration import Address, address

ENDPOINT_STATES = {"ready": EndpointState.UP, "draining": EndpointState.DRAINING, "gone": EndpointState.GONE}


class EndpointTarget(NamedTuple):
    """One server of the list and where it is reached."""

    entry: EndpointEntry
    uid: str
    address: Address | None  # None: gone


@dataclass(slots=True, frozen=True)
class EndpointListUpdate:
    """The list, or what changed of it."""

    rev: int
    complete: bool
    targets: tuple[EndpointTarget, ...]


def read_endpoint_list(value: Any) -> EndpointListUpdate:
    """Discovery's JSON to a list; one bad entry spoils it, as a failed call would."""
    reader = SettingsReader(value)
    return EndpointListUpdate(
        int(reader.number("rev")),
        reader.flag("all"),
        tuple(_target(entry) for entry in reader.pages("targets")),
    )


def _target(entry: SettingsReader) -> EndpointTarget:
    # An unknown state may mean anything: nothing new is sent there.
    presence = ENDPOINT_STATES.get(entry.text("state", "ready"), EndpointState.DRAINING)
    gone = presence is EndpointState.GONE
    where = None if gone else address(entry.text("endpoint"), f"{entry.path}.endpoint")
    # The ring must be alike at all routers: only `uid` is the same at each of them.
    uid = entry.text("uid")
    ident = xxh64_intdigest(uid.encode())
    started = entry.number("boot_ms", 0) / 1000.0
    cell = int(entry.number("pod_group", 0, least=-1))
    hint = entry.values.get("capacity_hint")
    weight = 0.0 if isinstance(hint, bool) else parse_non_negative(str(hint)) or 0.0
    listing = EndpointEntry(
        ident, entry.text("az", ""), entry.text("model", ""), cell, presence, started, weight
    )
    return EndpointTarget(listing, uid, where)
