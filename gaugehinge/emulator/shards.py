"""A played cluster: servers with slots, replicas and epochs, that redirect by the specification. No I/O.

What is true stands in `Shards`; each server has a view of its own, which may be old. A server serves what its
view gives it, names another one for the rest, and while a slot moves asks for what it no longer holds to be
asked there.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ..cluster.resp3 import Error, Status
from ..cluster.slots import SLOTS, slot_of

READS = frozenset([b"GET", b"EXISTS", b"TTL", b"LRANGE"])
KEYED = READS | {b"SET", b"DEL", b"INCR", b"INCRBY", b"RPUSH", b"APPEND", b"EXPIRE"}


@dataclass(slots=True, eq=False)
class Shard:
    """One server."""

    name: str
    address: tuple[str, int]
    view: list[str] = field(default_factory=lambda: [""] * SLOTS)  # who owns what, as this one believes
    epoch: int = 1
    up: bool = True
    of: str = ""  # the server that it is a replica of
    data: dict[bytes, Any] = field(default_factory=dict)
    migrating: dict[int, str] = field(default_factory=dict)
    importing: dict[int, str] = field(default_factory=dict)
    deaf_to_news: bool = False  # its view stays as it is
    loading: bool = False


@dataclass(slots=True)
class Wire:
    """What a connection has said."""

    asking: bool = False
    readonly: bool = False


@dataclass(slots=True, frozen=True)
class Ran:
    """A write that took effect."""

    at: float
    shard: str
    words: tuple[bytes, ...]


class Shards:
    """The servers and what is true of them."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.all: dict[str, Shard] = {}
        self.owner = [""] * SLOTS
        self.epoch = 1
        self.ran: list[Ran] = []  # the whole run's writes: it is what a run is judged by
        self.redirections = 0

    # -- life

    def add(self, name: str, address: tuple[str, int], of: str = "") -> Shard:
        """One more server: an owner of nothing yet, or a replica."""
        shard = self.all[name] = Shard(name, address, of=of)
        shard.view[:] = self.owner
        shard.epoch = self.epoch
        if of:
            shard.data.update(self.all[of].data)
        return shard

    def deal(self, names: list[str]) -> None:
        """All slots in equal ranges, known to all."""
        for slot in range(SLOTS):
            self.owner[slot] = names[slot * len(names) // SLOTS]
        self._spread()

    def _spread(self) -> None:
        for shard in self.all.values():
            if shard.up and not shard.deaf_to_news:
                shard.view[:] = self.owner
                shard.epoch = self.epoch

    def slots_of(self, name: str) -> list[int]:
        """What a server owns."""
        return [slot for slot, owner in enumerate(self.owner) if owner == name]

    def begin_move(self, slot: int, to: str) -> None:
        """A slot starts to move: new keys go to the new server, old ones one by one."""
        source = self.owner[slot]
        self.all[source].migrating[slot] = to
        self.all[to].importing[slot] = source

    def move_keys(self, slot: int, most: int = 1 << 30) -> int:
        """Move some keys of a slot that is on its way; how many there were."""
        source = self.all[self.owner[slot]]
        target = self.all[source.migrating[slot]]
        keys = [key for key in source.data if slot_of(key) == slot][:most]
        for key in keys:
            target.data[key] = source.data.pop(key)
            for replica in self.replicas(source.name):
                replica.data.pop(key, None)
            for replica in self.replicas(target.name):
                replica.data[key] = target.data[key]
        return len(keys)

    def end_move(self, slot: int) -> None:
        """A slot is where it was to go; the rest of its keys with it."""
        source = self.owner[slot]
        target = self.all[source].migrating[slot]
        self.move_keys(slot)
        del self.all[source].migrating[slot]
        del self.all[target].importing[slot]
        self.owner[slot] = target
        self.epoch += 1
        self._spread()

    def replicas(self, name: str) -> list[Shard]:
        """Those that copy a server."""
        return [shard for shard in self.all.values() if shard.of == name]

    def fail_over(self, name: str) -> str:
        """A server's replica takes its place; that becomes a replica of it. The name of the new owner."""
        heir = next(shard for shard in self.replicas(name) if shard.up)
        old = self.all[name]
        heir.of, old.of = "", heir.name
        for each in self.replicas(name):
            each.of = heir.name
        for slot in self.slots_of(name):
            self.owner[slot] = heir.name
        for slot, to in old.migrating.items():
            heir.migrating[slot] = to
            self.all[to].importing[slot] = heir.name
        for slot, source in old.importing.items():
            heir.importing[slot] = source
            self.all[source].migrating[slot] = heir.name
        old.migrating.clear()
        old.importing.clear()
        self.epoch += 1
        self._spread()
        return heir.name

    def stop(self, name: str) -> None:
        """A server is gone."""
        self.all[name].up = False

    def start(self, name: str) -> None:
        """A server is back, with what its owner holds if it is a replica."""
        shard = self.all[name]
        shard.up = True
        if shard.of:
            shard.data = dict(self.all[shard.of].data)
        self._spread()

    # -- commands

    def answer(self, shard: Shard, wire: Wire, words: list[bytes]) -> Any:
        """The answer to a command, as a value."""
        name = words[0].upper()
        if name == b"ASKING":
            wire.asking = True
            return Status(b"OK")
        asking, wire.asking = wire.asking, False
        if name in (b"READONLY", b"READWRITE"):
            wire.readonly = name == b"READONLY"
            return Status(b"OK")
        if name == b"PING":
            return Status(b"PONG")
        if name == b"CLUSTER":
            return self._cluster(shard, words[1].upper() if len(words) > 1 else b"")
        if name not in KEYED or len(words) < 2:
            return Error(b"ERR unknown command")
        if shard.loading:
            return Error(b"LOADING loading the dataset in memory")
        return self._refusal(shard, wire, asking, name, words[1]) or self._run(shard, name, words)

    def _refusal(self, shard: Shard, wire: Wire, asking: bool, name: bytes, key: bytes) -> Error | None:
        slot = slot_of(key)
        owner = shard.view[slot]
        if owner == shard.name:
            if slot in shard.migrating and key not in shard.data:
                return self._named(b"ASK", slot, self.all[shard.migrating[slot]])
            return None
        if slot in shard.importing and asking:
            return None
        if shard.of and shard.of == owner and wire.readonly and name in READS:
            return None
        if not owner:
            return Error(b"CLUSTERDOWN Hash slot not served")
        return self._named(b"MOVED", slot, self.all[owner])

    def _named(self, word: bytes, slot: int, shard: Shard) -> Error:
        self.redirections += 1
        return Error(b"%b %d %b:%d" % (word, slot, shard.address[0].encode(), shard.address[1]))

    def _run(self, shard: Shard, name: bytes, words: list[bytes]) -> Any:
        data, key = shard.data, words[1]
        held = data.get(key)
        if name == b"GET":
            return (
                held
                if not isinstance(held, list)
                else Error(b"WRONGTYPE Operation against a wrong kind of value")
            )
        if name == b"EXISTS":
            return int(key in data)
        if name == b"TTL":
            return -1 if key in data else -2
        if name == b"LRANGE":
            return list(held) if isinstance(held, list) else []
        self.ran.append(Ran(self.clock(), shard.name, tuple(words)))
        told: Any = Status(b"OK")
        if name == b"SET":
            data[key] = words[2]
        elif name == b"DEL":
            told = int(data.pop(key, None) is not None)
        elif name in (b"INCR", b"INCRBY"):
            data[key] = b"%d" % (int(held or b"0") + (int(words[2]) if len(words) > 2 else 1))
            told = int(data[key])
        elif name == b"RPUSH":
            data[key] = [*(held or []), *words[2:]]
            told = len(data[key])
        elif name == b"APPEND":
            data[key] = (held or b"") + words[2]
            told = len(data[key])
        elif name == b"EXPIRE":
            told = int(key in data)
        for replica in self.replicas(shard.name):
            if replica.up:
                if key in data:
                    replica.data[key] = data[key]
                else:
                    replica.data.pop(key, None)
        return told

    def _cluster(self, shard: Shard, what: bytes) -> Any:
        if what == b"INFO":
            served = sum(map(bool, shard.view))
            return b"cluster_state:ok\r\ncluster_slots_assigned:%d\r\ncluster_current_epoch:%d\r\n" % (
                served,
                shard.epoch,
            )
        if what == b"MYID":
            return shard.name.encode()
        if what != b"SLOTS":
            return Error(b"ERR unknown subcommand")
        ranges, first = [], 0
        for slot in range(1, SLOTS + 1):
            if slot < SLOTS and shard.view[slot] == shard.view[first]:
                continue
            owner = self.all.get(shard.view[first])
            if owner is not None:
                nodes = [owner, *(each for each in self.replicas(owner.name) if each.up)]
                ranges.append(
                    [
                        first,
                        slot - 1,
                        *(
                            [each.address[0].encode(), each.address[1], each.name.encode(), []]
                            for each in nodes
                        ),
                    ]
                )
            first = slot
        return ranges
