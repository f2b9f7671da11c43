"""When the servers' slot map is fetched, from whom, and what is believed meanwhile. No I/O, no own clock.

The map is learnt from the servers. A redirection corrects one slot at once and shows that the rest may have
changed: the whole is fetched, one fetch for all that wait, and never more often than every LEAST_EVERY. A map
of a lower epoch than the one held is refused: a server that was cut off tells old news. What redirections
said while a fetch was on its way stands over what that brings.
"""

from __future__ import annotations

from collections.abc import Sequence
from zlib import crc32

from .slots import Node, Redirection, SlotMap

MIN_FETCH_INTERVAL = 0.25  # between the starts of two fetches, however many redirections come
IDLE_FETCH_INTERVAL = (
    10.0  # with no redirection, and up to a half more by chance: a change that nobody met is seen
)
MIN_RETRY_PAUSE = 0.25  # pause after a failed fetch, doubled up to
MAX_RETRY_PAUSE = 2.0
FETCH_TIMEOUT = 1.0  # a fetch that takes longer has failed
LOWER_EPOCHS_BEFORE_ACCEPTED = (
    5  # a lower epoch told so often in a row is believed: the cluster was made anew
)


class SlotMapTracker:
    """The slot map as this router has it."""

    def __init__(self, seed: int, now: float) -> None:
        self.seed = seed
        self.map: SlotMap | None = None
        self.log_messages: list[str] = []  # emptied by the driver
        self.fetches = 0  # begun, in all
        self.is_stale = False  # it is known to be behind
        self._next_fetch_at = now
        self._fetch_began_at: float | None = None
        self._last_fetch_at = now - MIN_FETCH_INTERVAL
        self._failures = 0
        self._lower_epochs = 0
        self._moved_since_fetch: dict[
            int, Node
        ] = {}  # redirections since the last fetch began; emptied by the next
        self._draws = 0

    def next_fetch_at(self, now: float) -> float:
        """When the next fetch begins; while one is on its way, when that has failed."""
        if self._fetch_began_at is not None:
            return self._fetch_began_at + FETCH_TIMEOUT
        return max(self._next_fetch_at, self._last_fetch_at + MIN_FETCH_INTERVAL)

    def begin_fetch(self, servers: Sequence[tuple[str, int]], now: float) -> tuple[str, int] | None:
        """Begin a fetch, from a server drawn by the seed; None where there is none to ask."""
        if not servers:
            self._next_fetch_at = now + MIN_RETRY_PAUSE
            return None
        self._fetch_began_at = self._last_fetch_at = now
        self._moved_since_fetch = {}
        self.fetches += 1
        self._draws += 1
        return sorted(servers)[crc32(b"%d %d" % (self.seed, self._draws)) % len(servers)]

    def on_fetched(self, slot_map: SlotMap, now: float) -> None:
        """A fetch brought a map."""
        self._fetch_began_at = None
        current = self.map
        if current is not None and slot_map.epoch < current.epoch:
            self._lower_epochs += 1
            if self._lower_epochs < LOWER_EPOCHS_BEFORE_ACCEPTED:
                self._schedule_retry(now, f"epoch {slot_map.epoch}, {current.epoch} is held")
                return
        self._lower_epochs = 0
        self._failures = 0
        self.is_stale = False
        for slot, node in self._moved_since_fetch.items():
            if not slot_map.nodes(slot) or slot_map.nodes(slot)[0].address != node.address:
                slot_map = slot_map.with_slot_moved(slot, node)
                self.is_stale = True
        if current is None or slot_map != current:
            self.log_messages.append(
                f"slot map: epoch {slot_map.epoch}, {len(slot_map.ranges)} ranges, "
                f"{slot_map.covered_slot_count()} slots served"
            )
        self.map = slot_map
        self._draws += 1
        fraction = crc32(b"%d %d" % (self.seed, self._draws)) / 0x100000000
        self._next_fetch_at = now if self.is_stale else now + IDLE_FETCH_INTERVAL * (1.0 + 0.5 * fraction)

    def on_fetch_failed(self, now: float, reason: str = "no answer") -> None:
        """A fetch failed: the map held stays, and another server is asked later."""
        self._fetch_began_at = None
        self._schedule_retry(now, reason)

    def _schedule_retry(self, now: float, reason: str) -> None:
        self._failures += 1
        pause = min(MIN_RETRY_PAUSE * 2.0 ** (self._failures - 1), MAX_RETRY_PAUSE)
        self._next_fetch_at = now + pause
        if self._failures == 1:
            self.log_messages.append(f"slot map not had ({reason}), again in {pause:.2f} s")

    def on_redirection(self, redirection: Redirection, now: float) -> None:
        """A server named another one for a slot. For good (`MOVED`), the slot is there from now on."""
        if redirection.ask:
            return  # for this once: the slot has not moved yet
        self._moved_since_fetch[redirection.slot] = redirection.node
        if self.map is not None:
            self.map = self.map.with_slot_moved(redirection.slot, redirection.node)
        self.mark_stale(now)

    def mark_stale(self, now: float) -> None:
        """The map is known to be wrong: it is fetched as soon as that is allowed."""
        self.is_stale = True
        self._next_fetch_at = min(self._next_fetch_at, now)
