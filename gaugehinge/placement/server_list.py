"""A router's list of servers: as found by discovery, as reported, and which keys they may take."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from loguru import logger

from ..net.endpoint_list import EndpointListUpdate
from ..routing.types import EndpointEntry, EndpointState
from .affinity import SearchOrder
from .messages import MAX_SERVERS, RelabelledServer, ReportedServer, ServerListChunk
from .server_inventory import ServerPresence, server_list_digest, split_server_list

RESEND_INTERVAL = 10.0  # seconds until a list that the control plane still lacks is sent again
UNKNOWN_SERVER = ServerPresence("", "", 0.0)


class ServerList:
    """The servers that discovery listed for this router, without the origin."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """`clock`: monotonic seconds."""
        self.clock = clock
        self.current: dict[str, ReportedServer] = {}  # by uid; servers on the list
        self.departed: dict[str, ReportedServer] = {}  # in the order of leaving; at most MAX_SERVERS
        self.relabelled: dict[str, float] = {}  # start time by uid, as seen in this router's list
        self.reported_relabelled: dict[str, float] = {}  # start time by uid, as told by the control plane
        # Whether discovery has answered. Until then there is no list to report, not even an empty one.
        self.is_known = False
        self._by_ident: dict[int, ServerPresence] = {}  # by endpoint ident, as used in routing decisions
        self._pending_chunks: list[ServerListChunk] = []  # still to be sent
        self._sent_digest = ""
        self._sent_at = 0.0

    # -- updates from discovery

    def update(self, update: EndpointListUpdate, cached: bool, origin_kind: str | None) -> None:
        """Apply an update of discovery's list.

        `cached`: the update is not a fresh answer of discovery but one that was stored before;
        `origin_kind`: kind of the entries that are not cache servers.
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
        """Add or update a server, and mark it as relabelled if its zone changed without a restart.

        A relabelled server counts as part of neither zone. A zone change with an earlier start time is
        treated the same: that list is older than a previous update, and if the server restarted in between,
        it is in another zone now.
        """
        before = self.current.get(uid) or self.departed.pop(uid, None)
        if before is not None and entry.started <= before.started_at and before.zone != entry.zone:
            self.relabelled[uid] = entry.started
            logger.warning(
                "server {} is listed in zone {} instead of {} without a restart", uid, entry.zone, before.zone
            )
        accepts_new = entry.state is EndpointState.UP
        self.current[uid] = ReportedServer(uid, entry.zone, entry.weight, entry.started, accepts_new)
        self._by_ident[entry.ident] = ServerPresence(uid, entry.zone, entry.started)

    def _remove(self, uid: str) -> None:
        """Remember a server that leaves the list, as it may return in another zone without a restart."""
        server = self.current.pop(uid, None)
        if server is None:
            return
        self.departed[uid] = server
        while len(self.departed) > MAX_SERVERS:
            del self.departed[next(iter(self.departed))]

    def _forget_outdated(self) -> None:
        current = self.current
        self._by_ident = {ident: server for ident, server in self._by_ident.items() if server.uid in current}
        self.relabelled = {
            uid: started_at
            for uid, started_at in self.relabelled.items()
            if uid in current and current[uid].started_at == started_at
        }

    # -- placement decisions

    def set_reported_relabelled(self, servers: list[RelabelledServer]) -> None:
        """Set which servers the control plane knows to have been relabelled."""
        self.reported_relabelled = dict(servers)

    def allows(self, server: Any, regions: SearchOrder) -> bool:
        """Whether a server may get a key that is pinned to `regions`, which must not be empty."""
        if regions[-1] is None:
            return True
        known = self._by_ident.get(server.ident, UNKNOWN_SERVER)
        if self._is_relabelled(known):
            return False
        is_inside = any(region is not None and known.zone in region for region in regions)
        return known.zone == server.zone and is_inside

    def _is_relabelled(self, server: ServerPresence) -> bool:
        by_control_plane = self.reported_relabelled.get(server.uid)
        by_list = self.relabelled.get(server.uid)
        return server.started_at in (by_control_plane, by_list)

    # -- reports to the control plane

    def next_chunk(self) -> ServerListChunk | None:
        """Return the chunk for the next report, None if none is pending."""
        return self._pending_chunks.pop(0) if self._pending_chunks else None

    def prepare_report(self, control_plane_digest: str) -> None:
        """Queue the list for sending if it differs from the one that the control plane has, by its digest."""
        if not self.is_known or self._pending_chunks or len(self.current) > MAX_SERVERS:
            return
        servers = [server for _, server in sorted(self.current.items())]
        digest = server_list_digest(servers)
        resend = not control_plane_digest or self.clock() > self._sent_at + RESEND_INTERVAL
        if digest != control_plane_digest and (digest != self._sent_digest or resend):
            self._pending_chunks = split_server_list(servers)
            self._sent_digest = digest
            self._sent_at = self.clock()
