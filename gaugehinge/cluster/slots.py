"""Hash slots of keys, and the map from slots to the servers that serve them. No I/O.

Source: the public cluster specification. A slot is the CRC16 (XMODEM) of the key, or of its hash tag, modulo
16,384. The standard library's `binascii.crc_hqx` computes this checksum.
"""

from __future__ import annotations

from binascii import crc_hqx
from bisect import bisect_right
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from typing import NamedTuple

SLOTS = 16384


def slot_of(key: bytes) -> int:
    """The slot of a key: that of its hash tag (within the first braces, if not empty), else of all of it."""
    start = key.find(b"{")
    if start >= 0:
        end = key.find(b"}", start + 1)
        if end > start + 1:
            key = key[start + 1 : end]
    return crc_hqx(key, 0) % SLOTS


class Node(NamedTuple):
    """A server as a slot map lists it."""

    host: str
    port: int
    node_id: str = ""  # empty if not known

    @property
    def address(self) -> tuple[str, int]:
        return self.host, self.port


@dataclass(slots=True, frozen=True)
class SlotRange:
    """The slots from `first` to `last`, both inclusive, and their servers: the owner, then its replicas."""

    first: int
    last: int
    nodes: tuple[Node, ...]


class SlotMap:
    """Slot ranges in ascending order. A slot that no server serves is in no range.

    Immutable: a change creates a new map, so a map that was read before an `await` stays consistent.
    """

    __slots__ = ("epoch", "ranges", "_first_slots")

    def __init__(self, ranges: Iterable[SlotRange], epoch: int = 0) -> None:
        self.ranges = tuple(sorted(ranges, key=lambda slot_range: slot_range.first))
        self.epoch = epoch
        self._first_slots = [slot_range.first for slot_range in self.ranges]
        last = -1
        for slot_range in self.ranges:
            if not last < slot_range.first <= slot_range.last < SLOTS or not slot_range.nodes:
                raise ValueError(
                    f"range {slot_range.first}-{slot_range.last}: "
                    "out of bounds, overlapping or without servers"
                )
            last = slot_range.last

    def __eq__(self, other: object) -> bool:
        return isinstance(other, SlotMap) and self.ranges == other.ranges

    def __iter__(self) -> Iterator[SlotRange]:
        return iter(self.ranges)

    def nodes(self, slot: int) -> tuple[Node, ...]:
        """The slot's owner, then its replicas; empty if no server serves the slot."""
        index = bisect_right(self._first_slots, slot) - 1
        if index < 0 or slot > self.ranges[index].last:
            return ()
        return self.ranges[index].nodes

    def covered_slot_count(self) -> int:
        """The number of slots that are served."""
        return sum(slot_range.last - slot_range.first + 1 for slot_range in self.ranges)

    def with_slot_moved(self, slot: int, node: Node) -> SlotMap:
        """A copy of the map with one slot moved to another owner, as a redirection says.

        The slot's replicas are those of the new owner's other ranges, or unknown if it has none. The epoch
        stays the same, since the complete map still has to be fetched.
        """
        target_nodes = next(
            (slot_range.nodes for slot_range in self.ranges if slot_range.nodes[0].address == node.address),
            (node,),
        )
        ranges = []
        for slot_range in self.ranges:
            if not slot_range.first <= slot <= slot_range.last:
                ranges.append(slot_range)
                continue
            if slot_range.first < slot:
                ranges.append(replace(slot_range, last=slot - 1))
            if slot < slot_range.last:
                ranges.append(replace(slot_range, first=slot + 1))
        return SlotMap(merge_adjacent([*ranges, SlotRange(slot, slot, target_nodes)]), self.epoch)


def merge_adjacent(ranges: Iterable[SlotRange]) -> list[SlotRange]:
    """Merge adjacent ranges that the same servers serve."""
    merged: list[SlotRange] = []
    for slot_range in sorted(ranges, key=lambda slot_range: slot_range.first):
        if merged and merged[-1].last + 1 == slot_range.first and merged[-1].nodes == slot_range.nodes:
            merged[-1] = replace(merged[-1], last=slot_range.last)
        else:
            merged.append(slot_range)
    return merged


def even_slot_map(nodes: Iterable[tuple[Node, ...]], epoch: int = 0) -> SlotMap:
    """A map that divides all slots into equal ranges, in the order of the servers."""
    nodes = list(nodes)
    bounds = [SLOTS * i // len(nodes) for i in range(len(nodes) + 1)]
    spans = zip(bounds, bounds[1:], nodes, strict=False)
    return SlotMap([SlotRange(first, end - 1, owners) for first, end, owners in spans if first < end], epoch)


def parse_slots_reply(reply: object, queried_address: tuple[str, int]) -> SlotMap:
    """Parse the reply to `CLUSTER SLOTS`. An empty host stands for the host that was queried.

    Raises:
        ValueError: the reply is malformed, or its ranges overlap.
    """
    if not isinstance(reply, list) or len(reply) > SLOTS:
        raise ValueError("CLUSTER SLOTS: reply is not a list of ranges, or is too long")
    ranges = []
    for entry in reply:
        if not isinstance(entry, list) or len(entry) < 3:
            raise ValueError("CLUSTER SLOTS: entry is not a range with its servers")
        first, last, *nodes = entry
        if type(first) is not int or type(last) is not int:
            raise ValueError("CLUSTER SLOTS: range bounds are not integers")
        ranges.append(SlotRange(first, last, tuple(_parse_node(node, queried_address) for node in nodes)))
    return SlotMap(merge_adjacent(ranges))


def _parse_node(reply: object, queried_address: tuple[str, int]) -> Node:
    if not isinstance(reply, list) or len(reply) < 2 or not isinstance(reply[0], bytes | None):
        raise ValueError("CLUSTER SLOTS: malformed server entry")
    host, port = reply[0], reply[1]
    node_id = reply[2] if len(reply) > 2 and isinstance(reply[2], bytes) else b""
    if type(port) is not int or not 0 < port < 65536:
        raise ValueError("CLUSTER SLOTS: invalid port")
    return Node(host.decode("latin-1") if host else queried_address[0], port, node_id.decode("latin-1"))


class Redirection(NamedTuple):
    """A `MOVED` or `ASK` error; `ask` tells which."""

    ask: bool
    slot: int
    node: Node


def parse_redirection(message: bytes, queried_address: tuple[str, int]) -> Redirection | None:
    """Parse an error such as `MOVED 3999 127.0.0.1:6381`; None for any other error or a malformed one."""
    words = message.split(b" ")
    if len(words) < 3 or words[0] not in (b"MOVED", b"ASK"):
        return None
    host, _, port = words[2].rpartition(b":")
    if not (words[1].isdigit() and len(words[1]) < 6 and port.isdigit() and len(port) < 6):
        return None
    slot, port_number = int(words[1]), int(port)
    if slot >= SLOTS or not 0 < port_number < 65536:
        return None
    target_host = host.removeprefix(b"[").removesuffix(b"]").decode("latin-1") or queried_address[0]
    return Redirection(words[0] == b"ASK", slot, Node(target_host, port_number))
