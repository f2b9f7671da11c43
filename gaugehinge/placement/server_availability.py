"""Which servers may take keys of required shards: the reported list, less what was taken out of it."""

from __future__ import annotations

from dataclasses import replace

import msgspec

from ..admin.service import SERVER
from ..store.store import Store, Wanted, encode
from .admission import Server
from .records import NOTE, RELABELLED_NOTE
from .server_inventory import ServerInventory
from .store_reader import iter_items


class ServerAvailability:
    """The servers of the inventory as placements may use them.

    A server that operators let drain takes nothing new. A server whose zone changed without a restart (it was
    relabelled) takes no key of a required shard. Neither is capacity to pin to.
    """

    def __init__(self, inventory: ServerInventory) -> None:
        """Nothing is known of the store until `refresh`."""
        self.inventory = inventory
        self.drained: frozenset[str] = frozenset()  # by operators; as of the last refresh
        self.relabelled: dict[str, float] = {}  # to when it started; as of the last refresh
        self._stored: tuple[int, list[tuple[str, float]]] = (0, [])  # of a revision of the store

    def refresh(self, store: Store) -> None:
        """Follow the store. On its thread."""
        self.drained = frozenset(item.ident for item in iter_items(store, SERVER))
        self.relabelled = {**dict(self.stored_relabelled(store)), **self.inventory.relabelled}

    def servers(self) -> list[Server]:
        """All servers; those that take no key of a required shard do not accept anything new."""
        return [
            replace(server, accepts_new=False) if self._is_excluded(server) else server
            for server in list(self.inventory.current.values())
        ]

    def _is_excluded(self, server: Server) -> bool:
        return server.uid in self.drained or self.relabelled.get(server.uid) == server.started_at

    def zones(self) -> set[str]:
        """Zones where some server accepts new keys."""
        return {server.zone for server in self.servers() if server.accepts_new}

    def stored_relabelled(self, store: Store) -> list[tuple[str, float]]:
        """Relabelled servers as the store has them, with the times of their starts. On the store's thread."""
        if self._stored[0] != store.rev:
            item = store.get(NOTE, RELABELLED_NOTE)
            found = msgspec.json.decode(item.body, type=list[tuple[str, float]]) if item else []
            self._stored = store.rev, found
        return self._stored[1]

    def relabelled_change(self, store: Store) -> Wanted:
        """The change that writes down what the inventory found, without servers that restarted since."""
        stored = store.get(NOTE, RELABELLED_NOTE)
        started = {server.uid: server.started_at for server in self.inventory.current.values()}
        known = dict(self.stored_relabelled(store)) | self.inventory.relabelled
        body = [(uid, at) for uid, at in sorted(known.items()) if started.get(uid, at) == at]
        return Wanted(NOTE, RELABELLED_NOTE, encode(body), stored.rev if stored else 0)
