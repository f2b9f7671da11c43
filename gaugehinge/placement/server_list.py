"""The list of servers at a router: what discovery told, what is reported of it, which keys they may take."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from loguru import logger

from ..net.endpoint_list import EndpointListUpdate
from ..routing.types import EndpointEntry, EndpointState
from .affinity import SearchOrder
from .messages import MAX_SERVERS, RelabelledServer, ReportedServer, ServerListChunk
from .server_inventory import ServerPresence, server_list_digest, split_server_list

RESEND_INTERVAL = 10.0  # seconds after which a list that the control plane does not have is sent again
UNKNOWN_SERVER = ServerPresence("", "", 0.0)


class ServerList:
    """The servers that discovery told this router, the origin not among them."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """`clock`: monotonic seconds."""
        self.clock = clock
        self.current: dict[str, ReportedServer] = {}  # follows the list
        self.departed: dict[str, ReportedServer] = {}  # as they left the list; MAX_SERVERS of them
        self.relabelled: dict[str, float] = {}  # by what the list told here: to their starts
        self.reported_relabelled: dict[str, float] = {}  # by what the control plane told
        self.is_known = False  # discovery was heard; before that there is no list to send, not an empty one
        self._by_number: dict[int, ServerPresence] = {}  # by the number that decisions know a server by
        self._pending_chunks: list[ServerListChunk] = []  # still to be sent
        self._sent_digest = ""
        self._sent_at = 0.0

    # -- what discovery tells

    def update(self, update: EndpointListUpdate, cached: bool, origin_kind: str | None) -> None:
        """Follow the list.

        `cached`: it is not discovery's own answer, but one kept from before; `origin_kind`: of the entries
        that are no cache servers.
        """
        self.is_known = self.is_known or not cached
        if update.complete:
            named = {target.uid for target in update.targets}
            for uid in [uid for uid in self.current if uid not in named]:
                self._remove(uid)
        for entry, uid, _ in update.targets:
            if entry.state is EndpointState.GONE or entry.kind == origin_kind:
                self._remove(uid)
            else:
                self._add(uid, entry)
        self._forget_outdated()

    def _add(self, uid: str, entry: EndpointEntry) -> None:
        """A server that stands in another zone than before without a restart belongs to neither.

        Nor does one whose start goes back: that list is older than one that was told before, and where the
        server restarted since, it stands elsewhere now.
        """
        before = self.current.get(uid) or self.departed.pop(uid, None)
        if before is not None and entry.started <= before.started_at and before.zone != entry.zone:
            self.relabelled[uid] = entry.started
            logger.warning("server {} in zone {} and not {} with no start", uid, entry.zone, before.zone)
        accepts_new = entry.state is EndpointState.UP
        self.current[uid] = ReportedServer(uid, entry.zone, entry.weight, entry.started, accepts_new)
        self._by_number[entry.ident] = ServerPresence(uid, entry.zone, entry.started)

    def _remove(self, uid: str) -> None:
        """Remember a server that leaves the list: it may come back in another zone without a restart."""
        server = self.current.pop(uid, None)
        if server is None:
            return
        self.departed[uid] = server
        while len(self.departed) > MAX_SERVERS:
            del self.departed[next(iter(self.departed))]

    def _forget_outdated(self) -> None:
        current = self.current
        self._by_number = {
            number: server for number, server in self._by_number.items() if server.uid in current
        }
        self.relabelled = {
            uid: started_at
            for uid, started_at in self.relabelled.items()
            if uid in current and current[uid].started_at == started_at
        }

    # -- what is decided by it

    def set_reported_relabelled(self, servers: list[RelabelledServer]) -> None:
        """Take over which servers the control plane knows to have been relabelled."""
        self.reported_relabelled = dict(servers)

    def allows(self, server: Any, regions: SearchOrder) -> bool:
        """Whether a server may be sent a key that is pinned to regions; there is at least one."""
        if regions[-1] is None:
            return True
        known = self._by_number.get(server.ident, UNKNOWN_SERVER)
        if self._is_relabelled(known):
            return False
        is_inside = any(region is not None and known.zone in region for region in regions)
        return known.zone == server.zone and is_inside

    def _is_relabelled(self, server: ServerPresence) -> bool:
        by_control_plane = self.reported_relabelled.get(server.uid)
        by_list = self.relabelled.get(server.uid)
        return server.started_at in (by_control_plane, by_list)

    # -- what the control plane is sent

    def next_chunk(self) -> ServerListChunk | None:
        """What goes with the next report."""
        return self._pending_chunks.pop(0) if self._pending_chunks else None

    def prepare_report(self, control_plane_digest: str) -> None:
        """Queue the list if it differs from the control plane's, of which the digest is given."""
        if not self.is_known or self._pending_chunks or len(self.current) > MAX_SERVERS:
            return
        servers = [server for _, server in sorted(self.current.items())]
        digest = server_list_digest(servers)
        resend = not control_plane_digest or self.clock() > self._sent_at + RESEND_INTERVAL
        if digest != control_plane_digest and (digest != self._sent_digest or resend):
            self._pending_chunks = split_server_list(servers)
            self._sent_digest = digest
            self._sent_at = self.clock()
