"""The control plane: builds the components that share one store."""

from __future__ import annotations

import secrets

import msgspec

from ..store.async_store import AsyncStore
from ..store.records import Change, Mutation, encode
from ..store.store import Store
from ..tenancy.attempt_limiter import AttemptLimiter
from ..tenancy.credentials import SecretHasher
from .audit import AuditLog
from .authentication import Authenticator
from .extension import Extension
from .feed import Identity, RouterFeed
from .leases import RouterLeases
from .operators import STARTUP_ACTOR, Operators
from .places import plan_missing_places
from .records import COUNTER_KIND, STORE_ID_COUNTER
from .routers import RouterRegistry
from .servers import ServerOrders
from .tenants import Tenants
from .transactions import IdempotencyKey, Plan, ResponseEncoder, commit, no_response


class ControlPlane:
    """The operations behind the administration API, without HTTP. Each call is one store transaction."""

    def __init__(self, store_writer: AsyncStore, hasher: SecretHasher, attempts: AttemptLimiter) -> None:
        self.store_writer = store_writer
        self.extensions: list[Extension] = []  # all registered before the API is served
        self.operators = Operators(store_writer, hasher)
        self.authenticator = Authenticator(store_writer, self.operators, hasher, attempts)
        self.tenants = Tenants(store_writer, hasher)
        self.servers = ServerOrders(store_writer)
        self.routers = RouterRegistry(store_writer)
        self.audit = AuditLog(store_writer)
        self.leases = RouterLeases()
        self._identity = Identity()
        self.feed = RouterFeed(store_writer, self._identity, self.routers, self.leases, self.extensions)

    @property
    def store_id(self) -> str:
        """The random identifier of the store; empty before `prepare`."""
        return self._identity.store_id

    @property
    def run_id(self) -> str:
        """The random identifier of this run of the control plane."""
        return self._identity.run_id

    async def prepare(self) -> None:
        """Assign the store an identifier and every tenant a place, where these are missing.

        Called before the first router is answered.
        """
        await self.store_writer.apply_planned(_plan_preparation, STARTUP_ACTOR)
        self._identity.store_id = await self.store_writer.run_sync(_read_store_id, self.store_writer.store)

    async def commit(
        self,
        plan: Plan,
        actor: str,
        idempotency: IdempotencyKey | None = None,
        encode_response: ResponseEncoder = no_response,
    ) -> list[Change]:
        """Apply a plan to the store; see `transactions.commit`."""
        return await commit(self.store_writer, plan, actor, idempotency, encode_response)


def _read_store_id(store: Store) -> str:
    item = store.get(COUNTER_KIND, STORE_ID_COUNTER)
    if item is None:
        raise LookupError("the store has no identifier yet: prepare() has not run")
    return msgspec.json.decode(item.body, type=str)


def _plan_preparation(store: Store, now: float) -> list[Mutation]:
    mutations = plan_missing_places(store, now)
    if store.get(COUNTER_KIND, STORE_ID_COUNTER) is None:
        mutations.insert(0, Mutation(COUNTER_KIND, STORE_ID_COUNTER, encode(secrets.token_hex(8)), 0))
    return mutations
