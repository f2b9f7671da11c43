"""Slots of keys, and the map of who serves them. No I/O.

Source: the public cluster specification: CRC16 (XMODEM) of the key, or of its hash tag, modulo 16,384. The
checksum is the standard library's `binascii.crc_hqx`, which is that one.
"""

from __future__ import annotations

from binascii import crc_hqx
from bisect import bisect_right
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from typing import NamedTuple

SLOTS = 16384


def slot_of(key: bytes) -> int:
    """The slot of a key: of what stands in its first braces, if that is not empty, else of all of it."""
    start = key.find(b"{")
    if start >= 0:
        end = key.find(b"}", start + 1)
        if end > start + 1:
            key = key[start + 1 : end]
    return crc_hqx(key, 0) % SLOTS


class Node(NamedTuple):
    """A server as a slot map names it."""

    host: str
    port: int
    ident: str = ""  # its node id, where told

    @property
    def address(self) -> tuple[str, int]:
        return self.host, self.port


@dataclass(slots=True, frozen=True)
class Range:
    """Slots from `first` to `last`, both included, and who serves them: the owner, then its replicas."""

    first: int
    last: int
    nodes: tuple[Node, ...]


class SlotMap:
    """Ranges in order; a slot that nobody serves is in none.

    A map is never changed: a change makes a new one, so that a map read before an await is whole.
    """

    __slots__ = ("epoch", "ranges", "_firsts")

    def __init__(self, ranges: Iterable[Range], epoch: int = 0) -> None:
        self.ranges = tuple(sorted(ranges, key=lambda each: each.first))
        self.epoch = epoch
        self._firsts = [each.first for each in self.ranges]
        last = -1
        for each in self.ranges:
            if not last < each.first <= each.last < SLOTS or not each.nodes:
                raise ValueError(f"range {each.first}-{each.last}: outside, overlapping, or served by nobody")
            last = each.last

    def __eq__(self, other: object) -> bool:
        return isinstance(other, SlotMap) and self.ranges == other.ranges

    def __iter__(self) -> Iterator[Range]:
        return iter(self.ranges)

    def nodes(self, slot: int) -> tuple[Node, ...]:
        """The owner, then its replicas; empty where nobody serves it."""
        place = bisect_right(self._firsts, slot) - 1
        if place < 0 or slot > self.ranges[place].last:
            return ()
        return self.ranges[place].nodes

    def covered(self) -> int:
        """How many slots are served."""
        return sum(each.last - each.first + 1 for each in self.ranges)

    def moved(self, slot: int, node: Node) -> SlotMap:
        """The map as a redirection tells it: one slot at another server, of whose replicas nothing is known.

        Its epoch is the same: the whole map is still to be fetched.
        """
        known = next((each.nodes for each in self.ranges if each.nodes[0].address == node.address), (node,))
        ranges = []
        for each in self.ranges:
            if not each.first <= slot <= each.last:
                ranges.append(each)
                continue
            if each.first < slot:
                ranges.append(replace(each, last=slot - 1))
            if slot < each.last:
                ranges.append(replace(each, first=slot + 1))
        return SlotMap(joined([*ranges, Range(slot, slot, known)]), self.epoch)


def joined(ranges: Iterable[Range]) -> list[Range]:
    """Neighbours that the same servers serve, as one."""
    out: list[Range] = []
    for each in sorted(ranges, key=lambda one: one.first):
        if out and out[-1].last + 1 == each.first and out[-1].nodes == each.nodes:
            out[-1] = replace(out[-1], last=each.last)
        else:
            out.append(each)
    return out


def even(nodes: Iterable[tuple[Node, ...]], epoch: int = 0) -> SlotMap:
    """All slots in equal ranges, in the order of the servers."""
    nodes = list(nodes)
    edges = [SLOTS * i // len(nodes) for i in range(len(nodes) + 1)]
    spans = zip(edges, edges[1:], nodes, strict=False)
    return SlotMap([Range(first, end - 1, each) for first, end, each in spans if first < end], epoch)


def read_slots(told: object, asked: tuple[str, int]) -> SlotMap:
    """The answer to `CLUSTER SLOTS`. An empty host means the one that was asked. Raises ValueError."""
    if not isinstance(told, list) or len(told) > SLOTS:
        raise ValueError("CLUSTER SLOTS: no list of ranges")
    ranges = []
    for entry in told:
        if not isinstance(entry, list) or len(entry) < 3:
            raise ValueError("CLUSTER SLOTS: no range with its servers")
        first, last, *nodes = entry
        if type(first) is not int or type(last) is not int:
            raise ValueError("CLUSTER SLOTS: no slot numbers")
        ranges.append(Range(first, last, tuple(_node(node, asked) for node in nodes)))
    return SlotMap(joined(ranges))


def _node(told: object, asked: tuple[str, int]) -> Node:
    if not isinstance(told, list) or len(told) < 2 or not isinstance(told[0], bytes | None):
        raise ValueError("CLUSTER SLOTS: no server")
    host, port = told[0], told[1]
    ident = told[2] if len(told) > 2 and isinstance(told[2], bytes) else b""
    if type(port) is not int or not 0 < port < 65536:
        raise ValueError("CLUSTER SLOTS: no port")
    return Node(host.decode("latin-1") if host else asked[0], port, ident.decode("latin-1"))


class Redirection(NamedTuple):
    """`MOVED` or `ASK`."""

    ask: bool
    slot: int
    node: Node


def read_redirection(text: bytes, asked: tuple[str, int]) -> Redirection | None:
    """`MOVED 3999 127.0.0.1:6381`; None for another error, or one that makes no sense."""
    words = text.split(b" ")
    if len(words) < 3 or words[0] not in (b"MOVED", b"ASK"):
        return None
    host, _, port = words[2].rpartition(b":")
    if not (words[1].isdigit() and len(words[1]) < 6 and port.isdigit() and len(port) < 6):
        return None
    slot, number = int(words[1]), int(port)
    if slot >= SLOTS or not 0 < number < 65536:
        return None
    where = host.removeprefix(b"[").removesuffix(b"]").decode("latin-1") or asked[0]
    return Redirection(words[0] == b"ASK", slot, Node(where, number))
