"""Operators' orders to drain cache servers, independent of what discovery reports about them."""

from __future__ import annotations

from ..store.async_store import AsyncStore
from ..store.records import Mutation, encode
from ..store.store import Store
from .errors import InvalidRequestError
from .records import SERVER_ORDER_KIND
from .transactions import commit
from .types import ServerOrder

MAX_SERVER_NAME = 200  # characters
DRAIN, NO_ORDER = "drain", "none"  # values of an order in the API


class ServerOrders:
    """Reads and changes the drain orders in the store."""

    def __init__(self, store_writer: AsyncStore) -> None:
        self._store_writer = store_writer

    async def list_all(self) -> list[ServerOrder]:
        """Return all current orders, sorted by server name."""
        store = self._store_writer.store
        items = await self._store_writer.run_sync(lambda: store.items(SERVER_ORDER_KIND))
        return [ServerOrder(item.item_id, DRAIN, item.revision) for item in items]

    async def set_draining(self, name: str, draining: bool, actor: str) -> ServerOrder:
        """Order a cache server to drain, or withdraw the order. Repeating either changes nothing.

        An order remains until it is withdrawn, even if the server stops and returns: a restart must not put
        a server back into service that an operator took out for a reason.

        Raises:
            InvalidRequestError: The name is empty or too long.
        """
        if not 0 < len(name) <= MAX_SERVER_NAME:
            raise InvalidRequestError(f"1 to {MAX_SERVER_NAME} characters", "server")

        def plan(store: Store, now: float) -> list[Mutation]:
            item = store.get(SERVER_ORDER_KIND, name)
            if (item is not None) is draining:
                return []
            body = encode(DRAIN) if draining else None
            return [Mutation(SERVER_ORDER_KIND, name, body, item.revision if item else 0)]

        await commit(self._store_writer, plan, actor)
        store = self._store_writer.store
        item = await self._store_writer.run_sync(lambda: store.get(SERVER_ORDER_KIND, name))
        if item is None:
            return ServerOrder(name, NO_ORDER, self._store_writer.revision)
        return ServerOrder(name, DRAIN, item.revision)


def draining_servers(store: Store) -> list[str]:
    """Return the names of the servers ordered to drain, sorted; called on the store's thread."""
    return [item.item_id for item in store.items(SERVER_ORDER_KIND)]
