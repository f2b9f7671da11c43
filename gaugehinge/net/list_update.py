"""The list of servers in discovery's form: the whole of it, or what changed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from xxhash import xxh64_intdigest

from ..charter import Page, figure
from ..terms import Listing, Presence
from .configuration import Address, address

PRESENCES = {"ready": Presence.UP, "draining": Presence.DRAINING, "gone": Presence.GONE}


class Target(NamedTuple):
    """One server of the list and where it is reached."""

    listing: Listing
    uid: str
    address: Address | None  # None: gone


@dataclass(slots=True, frozen=True)
class ListUpdate:
    """The list, or what changed of it."""

    rev: int
    whole: bool
    targets: tuple[Target, ...]


def read_list_update(told: Any) -> ListUpdate:
    """Discovery's JSON to a list; one bad entry spoils it, as a failed call would."""
    page = Page(told)
    return ListUpdate(
        int(page.number("rev")),
        page.flag("all"),
        tuple(_target(entry) for entry in page.pages("targets")),
    )


def _target(entry: Page) -> Target:
    # An unknown state may mean anything: nothing new is sent there.
    presence = PRESENCES.get(entry.text("state", "ready"), Presence.DRAINING)
    gone = presence is Presence.GONE
    where = None if gone else address(entry.text("endpoint"), f"{entry.path}.endpoint")
    # The ring must be alike at all routers: only `uid` is the same at each of them.
    uid = entry.text("uid")
    ident = xxh64_intdigest(uid.encode())
    started = entry.number("boot_ms", 0) / 1000.0
    cell = int(entry.number("pod_group", 0, least=-1))
    hint = entry.values.get("capacity_hint")
    weight = 0.0 if isinstance(hint, bool) else figure(str(hint)) or 0.0
    listing = Listing(ident, entry.text("az", ""), entry.text("model", ""), cell, presence, started, weight)
    return Target(listing, uid, where)
