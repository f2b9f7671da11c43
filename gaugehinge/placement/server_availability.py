"""Which servers may take keys of required shards: the reported ones without drained or relabelled ones."""

from __future__ import annotations

import msgspec

from ..admin.records import SERVER_ORDER_KIND
from ..store.records import Mutation, encode
from ..store.store import Store
from .messages import RelabelledServer, ReportedServer
from .records import NOTE, RELABELLED_NOTE
from .server_inventory import ServerInventory
from .store_reader import iter_items


class ServerAvailability:
    """The servers of the inventory, with those marked that placements may not use.

    A server that operators drain takes nothing new. A server whose zone changed without a restart (a
    relabelled server) takes no key of a required shard. Neither counts as capacity for pins.
    """

    def __init__(self, inventory: ServerInventory) -> None:
        """Nothing is read from the store until `refresh`."""
        self.inventory = inventory
        self.drained: frozenset[str] = frozenset()  # uids; by operators, as of the last refresh
        self.relabelled: dict[str, float] = {}  # start time by uid, as of the last refresh
        self._stored: list[RelabelledServer] = []
        self._stored_revision = 0  # of the store when `_stored` was read

    def refresh(self, store: Store) -> None:
        """Read drained and relabelled servers from the store. Runs on the store's thread."""
        self.drained = frozenset(item.item_id for item in iter_items(store, SERVER_ORDER_KIND))
        self.relabelled = {**dict(self.stored_relabelled(store)), **self.inventory.relabelled}

    def servers(self) -> list[ReportedServer]:
        """Return all servers; drained and relabelled ones are marked as not accepting anything new."""
        return [
            server._replace(accepts_new=False) if self._is_excluded(server) else server
            for server in list(self.inventory.current.values())
        ]

    def _is_excluded(self, server: ReportedServer) -> bool:
        return server.uid in self.drained or self.relabelled.get(server.uid) == server.started_at

    def zones(self) -> set[str]:
        """Return the zones in which any server accepts new keys."""
        return {server.zone for server in self.servers() if server.accepts_new}

    def stored_relabelled(self, store: Store) -> list[RelabelledServer]:
        """Return the stored relabelled servers with their start times. Runs on the store's thread."""
        if self._stored_revision != store.revision:
            item = store.get(NOTE, RELABELLED_NOTE)
            self._stored = msgspec.json.decode(item.body, type=list[RelabelledServer]) if item else []
            self._stored_revision = store.revision
        return self._stored

    def relabelled_change(self, store: Store) -> Mutation:
        """Return the change that stores all relabelled servers, except those that have restarted since."""
        stored = store.get(NOTE, RELABELLED_NOTE)
        started = {server.uid: server.started_at for server in self.inventory.current.values()}
        known = dict(self.stored_relabelled(store)) | self.inventory.relabelled
        relabelled = [
            RelabelledServer(uid, started_at)
            for uid, started_at in sorted(known.items())
            if started.get(uid, started_at) == started_at
        ]
        return Mutation(NOTE, RELABELLED_NOTE, encode(relabelled), stored.revision if stored else 0)
