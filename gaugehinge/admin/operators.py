"""Operators: who may call the administration API, each by a secret of its own."""

from __future__ import annotations

import msgspec
import trio

from ..store.async_store import AsyncStore
from ..store.errors import RevisionConflictError
from ..store.records import Mutation, encode
from ..tenancy.credentials import SecretHasher
from .caller import Role
from .errors import ResourceConflictError
from .records import OPERATOR_KIND, OperatorRecord
from .types import Secret

FIRST_OPERATOR = "root"
STARTUP_ACTOR = "start"  # the actor of changes that the control plane makes by itself when it starts


class Operators:
    """The operators in the store."""

    def __init__(self, store_writer: AsyncStore, hasher: SecretHasher) -> None:
        self._store_writer = store_writer
        self._hasher = hasher
        self.generation = 0  # rises with each change: what was authenticated before is checked again

    async def create(self, name: str, role: Role, tenant: str, actor: str) -> Secret:
        """Add an operator and return its secret, which is not kept.

        Raises:
            ResourceConflictError: There is an operator of that name.
        """
        secret, credential = await trio.to_thread.run_sync(self._hasher.issue, self._store_writer.clock())
        record = OperatorRecord(name, role, tenant, [credential])
        try:
            await self._store_writer.apply([Mutation(OPERATOR_KIND, name, encode(record), 0)], actor)
        except RevisionConflictError as error:
            raise ResourceConflictError(f"operator {name} is there already", "name") from error
        self.generation += 1
        return Secret(credential.credential_id, secret)

    async def create_first(self) -> str | None:
        """On a store without operators, create the first one and return its secret; else None."""
        store = self._store_writer.store
        if await self._store_writer.run_sync(lambda: store.items(OPERATOR_KIND, limit=1)):
            return None
        return (await self.create(FIRST_OPERATOR, "operator", "", STARTUP_ACTOR)).secret

    async def with_credential(self, credential_id: str) -> OperatorRecord | None:
        """The operator that has a credential of this identifier, whether or not a secret fits it."""
        store = self._store_writer.store
        items = await self._store_writer.run_sync(lambda: store.items(OPERATOR_KIND))
        records = [msgspec.json.decode(item.body, type=OperatorRecord) for item in items]
        return next(
            (each for each in records if any(c.credential_id == credential_id for c in each.credentials)),
            None,
        )
