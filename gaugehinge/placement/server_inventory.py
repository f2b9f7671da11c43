"""The list of servers as routers report it to the keeper. No I/O, no clock of its own."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec
from xxhash import xxh3_64_hexdigest

from .admission import Server
from .messages import MAX_CHUNK_SERVERS, MAX_SERVERS, ReportedServer, ServerListChunk

MAX_PARTIAL_LISTS = 16  # lists that are being put together from their chunks; the oldest goes first


def server_list_digest(servers: list[ReportedServer]) -> str:
    """Of a whole list, in the order of its names."""
    return xxh3_64_hexdigest(msgspec.json.encode(servers))


def split_server_list(servers: list[ReportedServer]) -> list[ServerListChunk]:
    """A list as it is reported, in parts."""
    digest = server_list_digest(servers)
    starts = range(0, max(len(servers), 1), MAX_CHUNK_SERVERS)
    return [ServerListChunk(digest, len(servers), at, servers[at : at + MAX_CHUNK_SERVERS]) for at in starts]


@dataclass(slots=True)
class ServerInventory:
    """The newest whole list that any router told, and servers that left it."""

    digest: str = ""
    known: dict[str, Server] = field(default_factory=dict)  # of the newest list
    left: dict[str, Server] = field(default_factory=dict)  # MAX_SERVERS of them
    unsure: dict[str, float] = field(default_factory=dict)  # zone changed without a start: when it started
    _parts: dict[tuple[str, str], dict[int, list[ReportedServer]]] = field(default_factory=dict)

    def hear(self, router: str, told: ServerListChunk) -> set[str]:
        """A slice came; the zones whose servers changed places without a start, empty for most."""
        key = (router, told.digest)
        parts = self._parts.setdefault(key, {})
        parts[told.first] = told.servers
        while len(self._parts) > MAX_PARTIAL_LISTS:
            del self._parts[next(iter(self._parts))]
        whole = [each for first in sorted(parts) for each in parts[first]]
        if len(whole) < told.count:
            return set()
        del self._parts[key]
        if server_list_digest(whole) != told.digest or told.digest == self.digest:
            return set()
        return self._take(told.digest, [Server(*each) for each in whole])

    def _take(self, digest: str, servers: Iterable[Server]) -> set[str]:
        before, self.known = self.known, {server.uid: server for server in servers}
        disturbed: set[str] = set()
        for uid, server in self.known.items():
            old = before.get(uid) or self.left.pop(uid, None)
            if uid in self.unsure and self.unsure[uid] != server.started:
                del self.unsure[uid]
            if old is None or old.zone == server.zone or server.started > old.started:
                continue
            # Routers whose lists differ tell of one change again and again: what no key goes to any more
            # disturbs nobody a second time.
            if self.unsure.get(uid) != server.started:
                self.unsure[uid] = server.started
                disturbed |= {old.zone, server.zone}
        for uid, server in before.items():
            if uid not in self.known:
                self.left[uid] = server
        while len(self.left) > MAX_SERVERS:
            del self.left[next(iter(self.left))]
        self.digest = digest
        return disturbed

    def crowd(self) -> list[tuple[str, str, float]]:
        """Everything that may hold a copy now: uid, zone, started."""
        stand = {**self.left, **self.known}
        return [(each.uid, each.zone, each.started) for _, each in sorted(stand.items())]
