"""Decides when and from which server the slot map is fetched, and which map is used meanwhile.

Does no I/O and has no clock of its own.

A redirection corrects one slot at once and shows that others may have changed as well, so the complete map is
fetched: one fetch serves all waiting operations, and fetches begin at least MIN_FETCH_INTERVAL apart. A map
with a lower epoch than the current one is rejected, since a partitioned server reports an outdated map.
Redirections received during a fetch override its result.
"""

from __future__ import annotations

from collections.abc import Sequence
from zlib import crc32

from .slots import Node, Redirection, SlotMap

MIN_FETCH_INTERVAL = 0.25  # seconds between the starts of two fetches, however many redirections arrive
# Seconds, without redirections, plus up to half as much at random: finds changes that no operation ran into.
IDLE_FETCH_INTERVAL = 10.0
MIN_RETRY_PAUSE = 0.25  # seconds after the first failed fetch; doubled after each further failure
MAX_RETRY_PAUSE = 2.0  # seconds; the doubled pause grows no further
FETCH_TIMEOUT = 1.0  # seconds; a fetch that takes longer counts as failed
# A lower epoch reported this many times in a row is accepted: the cluster was created anew.
LOWER_EPOCHS_BEFORE_ACCEPTED = 5


class SlotMapTracker:
    """The slot map that this router uses, and the schedule of its fetches. Times are in seconds."""

    def __init__(self, seed: int, now: float) -> None:
        self.seed = seed
        self.map: SlotMap | None = None
        self.log_messages: list[str] = []  # logged and cleared by `SlotRouting.run`
        self.fetches = 0  # started so far
        self.is_stale = False  # whether the map is known to be out of date
        self._next_fetch_at = now
        self._fetch_began_at: float | None = None
        self._last_fetch_at = now - MIN_FETCH_INTERVAL
        self._failures = 0
        self._lower_epochs = 0
        # New owners by slot, from redirections since the last fetch began; cleared when the next one begins.
        self._moved_since_fetch: dict[int, Node] = {}
        self._draws = 0  # pseudo-random draws so far, which vary the hash of the seed

    def next_fetch_at(self, now: float) -> float:
        """When the next fetch is due; during a fetch, when it times out."""
        if self._fetch_began_at is not None:
            return self._fetch_began_at + FETCH_TIMEOUT
        return max(self._next_fetch_at, self._last_fetch_at + MIN_FETCH_INTERVAL)

    def begin_fetch(self, servers: Sequence[tuple[str, int]], now: float) -> tuple[str, int] | None:
        """Begin a fetch; returns the server to ask, drawn by the seed, or None if there is none."""
        if not servers:
            self._next_fetch_at = now + MIN_RETRY_PAUSE
            return None
        self._fetch_began_at = self._last_fetch_at = now
        self._moved_since_fetch = {}
        self.fetches += 1
        self._draws += 1
        return sorted(servers)[crc32(b"%d %d" % (self.seed, self._draws)) % len(servers)]

    def on_fetched(self, slot_map: SlotMap, now: float) -> None:
        """Take the map that a fetch returned, unless its epoch is too low."""
        self._fetch_began_at = None
        current = self.map
        if current is not None and slot_map.epoch < current.epoch:
            self._lower_epochs += 1
            if self._lower_epochs < LOWER_EPOCHS_BEFORE_ACCEPTED:
                self._schedule_retry(
                    now, f"epoch {slot_map.epoch}, lower than {current.epoch} of the current map"
                )
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

    def on_fetch_failed(self, now: float, reason: str = "no reply") -> None:
        """Keep the current map after a failed fetch, and schedule a retry, which draws a server again."""
        self._fetch_began_at = None
        self._schedule_retry(now, reason)

    def _schedule_retry(self, now: float, reason: str) -> None:
        self._failures += 1
        pause = min(MIN_RETRY_PAUSE * 2.0 ** (self._failures - 1), MAX_RETRY_PAUSE)
        self._next_fetch_at = now + pause
        if self._failures == 1:
            self.log_messages.append(f"slot map fetch failed ({reason}); retrying in {pause:.2f} s")

    def on_redirection(self, redirection: Redirection, now: float) -> None:
        """Apply a redirection: after `MOVED` the slot belongs to the named server from now on."""
        if redirection.ask:
            return  # valid for one request: the slot has not moved yet
        self._moved_since_fetch[redirection.slot] = redirection.node
        if self.map is not None:
            self.map = self.map.with_slot_moved(redirection.slot, redirection.node)
        self.mark_stale(now)

    def mark_stale(self, now: float) -> None:
        """Note that the map is out of date, and have it fetched as soon as the minimum interval allows."""
        self.is_stale = True
        self._next_fetch_at = min(self._next_fetch_at, now)
