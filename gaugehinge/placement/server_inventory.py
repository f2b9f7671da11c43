"""The list of cache servers that routers report to the control plane. No I/O, no clock of its own."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec
from xxhash import xxh3_64_hexdigest

from .messages import MAX_CHUNK_SERVERS, MAX_SERVERS, ReportedServer, ServerListChunk

MAX_PARTIAL_LISTS = 16  # incomplete lists that are kept; the oldest is dropped first


class ServerPresence(NamedTuple):
    """A server that was present in a zone. Encoded as an array."""

    uid: str
    zone: str
    started_at: float


class _PartialListKey(NamedTuple):
    router: str
    digest: str


def server_list_digest(servers: list[ReportedServer]) -> str:
    """The digest of a whole list, which has to be sorted by name."""
    return xxh3_64_hexdigest(msgspec.json.encode(servers))


def split_server_list(servers: list[ReportedServer]) -> list[ServerListChunk]:
    """Split a list into the chunks in which it is reported; an empty list is one chunk."""
    digest = server_list_digest(servers)
    return [
        ServerListChunk(digest, len(servers), offset, servers[offset : offset + MAX_CHUNK_SERVERS])
        for offset in range(0, max(len(servers), 1), MAX_CHUNK_SERVERS)
    ]


@dataclass(slots=True)
class ServerInventory:
    """The newest complete list that any router reported, and the servers that have left it."""

    digest: str = ""  # of the newest list; empty: none has been completed yet
    current: dict[str, ReportedServer] = field(default_factory=dict)  # by uid, the newest list
    departed: dict[str, ReportedServer] = field(default_factory=dict)  # by uid; at most MAX_SERVERS
    # By uid: start times of servers whose zone changed without a restart.
    relabelled: dict[str, float] = field(default_factory=dict)
    _partial: dict[_PartialListKey, dict[int, list[ReportedServer]]] = field(default_factory=dict)

    def add_chunk(self, router: str, chunk: ServerListChunk) -> set[str]:
        """Add a chunk of a router's list; the chunk that completes the list makes it the current one.

        Returns the old and new zones of servers that changed zones without a restart; empty for most chunks.
        """
        key = _PartialListKey(router, chunk.digest)
        chunks = self._partial.setdefault(key, {})
        chunks[chunk.offset] = chunk.servers
        while len(self._partial) > MAX_PARTIAL_LISTS:
            del self._partial[next(iter(self._partial))]
        servers = [server for offset in sorted(chunks) for server in chunks[offset]]
        if len(servers) < chunk.count:
            return set()
        del self._partial[key]
        if server_list_digest(servers) != chunk.digest or chunk.digest == self.digest:
            return set()
        zones = self._replace_current(servers)
        self.digest = chunk.digest
        return zones

    def _replace_current(self, servers: Iterable[ReportedServer]) -> set[str]:
        before, self.current = self.current, {server.uid: server for server in servers}
        zones: set[str] = set()
        for uid, server in self.current.items():
            zones |= self._detect_relabelling(before.get(uid) or self.departed.pop(uid, None), server)
        for uid, server in before.items():
            if uid not in self.current:
                self.departed[uid] = server
        while len(self.departed) > MAX_SERVERS:
            del self.departed[next(iter(self.departed))]
        return zones

    def _detect_relabelling(self, before: ReportedServer | None, server: ReportedServer) -> set[str]:
        """Both zones of a server that changed zones without a restart; empty if that is known already."""
        uid = server.uid
        if uid in self.relabelled and self.relabelled[uid] != server.started_at:
            del self.relabelled[uid]
        if before is None or before.zone == server.zone or server.started_at > before.started_at:
            return set()
        # Routers whose lists differ report the same change repeatedly. After the first report no key of a
        # required shard goes to the server any more, so later ones need not disturb the shards again.
        if self.relabelled.get(uid) == server.started_at:
            return set()
        self.relabelled[uid] = server.started_at
        return {before.zone, server.zone}

    def snapshot(self) -> list[ServerPresence]:
        """All servers that may hold a copy of a value now, sorted by name."""
        servers = {**self.departed, **self.current}
        return [
            ServerPresence(server.uid, server.zone, server.started_at)
            for _, server in sorted(servers.items())
        ]
