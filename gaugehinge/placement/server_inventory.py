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
    current: dict[str, Server] = field(default_factory=dict)  # of the newest list
    departed: dict[str, Server] = field(default_factory=dict)  # MAX_SERVERS of them
    relabelled: dict[str, float] = field(
        default_factory=dict
    )  # zone changed without a start: when it started
    _partial: dict[tuple[str, str], dict[int, list[ReportedServer]]] = field(default_factory=dict)

    def add_chunk(self, router: str, told: ServerListChunk) -> set[str]:
        """A slice came; the zones whose servers changed places without a start, empty for most."""
        key = (router, told.digest)
        parts = self._partial.setdefault(key, {})
        parts[told.offset] = told.servers
        while len(self._partial) > MAX_PARTIAL_LISTS:
            del self._partial[next(iter(self._partial))]
        whole = [each for first in sorted(parts) for each in parts[first]]
        if len(whole) < told.count:
            return set()
        del self._partial[key]
        if server_list_digest(whole) != told.digest or told.digest == self.digest:
            return set()
        return self._replace(told.digest, [Server(*each) for each in whole])

    def _replace(self, digest: str, servers: Iterable[Server]) -> set[str]:
        before, self.current = self.current, {server.uid: server for server in servers}
        disturbed: set[str] = set()
        for uid, server in self.current.items():
            old = before.get(uid) or self.departed.pop(uid, None)
            if uid in self.relabelled and self.relabelled[uid] != server.started_at:
                del self.relabelled[uid]
            if old is None or old.zone == server.zone or server.started_at > old.started_at:
                continue
            # Routers whose lists differ tell of one change again and again: what no key goes to any more
            # disturbs nobody a second time.
            if self.relabelled.get(uid) != server.started_at:
                self.relabelled[uid] = server.started_at
                disturbed |= {old.zone, server.zone}
        for uid, server in before.items():
            if uid not in self.current:
                self.departed[uid] = server
        while len(self.departed) > MAX_SERVERS:
            del self.departed[next(iter(self.departed))]
        self.digest = digest
        return disturbed

    def snapshot(self) -> list[tuple[str, str, float]]:
        """Everything that may hold a copy now: uid, zone, started."""
        stand = {**self.departed, **self.current}
        return [(each.uid, each.zone, each.started_at) for _, each in sorted(stand.items())]
