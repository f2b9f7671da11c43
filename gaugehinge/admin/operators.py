"""Operators: the callers of the administration API, each with its own secret."""

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
STARTUP_ACTOR = "start"  # actor of changes that the control plane makes on its own at startup


class Operators:
    """Reads and creates the operators in the store."""

    def __init__(self, store_writer: AsyncStore, hasher: SecretHasher) -> None:
        self._store_writer = store_writer
        self._hasher = hasher
        # Incremented by each change, after which cached authentications are checked again.
        self.generation = 0

    async def create(self, name: str, role: Role, tenant: str, actor: str) -> Secret:
        """Add an operator and return its secret, which is not stored.

        Raises:
            ResourceConflictError: An operator of that name exists.
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
        """Create the first operator and return its secret; return None if the store has operators."""
        store = self._store_writer.store
        if await self._store_writer.run_sync(lambda: store.items(OPERATOR_KIND, limit=1)):
            return None
        return (await self.create(FIRST_OPERATOR, "operator", "", STARTUP_ACTOR)).secret

    async def with_credential(self, credential_id: str) -> OperatorRecord | None:
        """Return the operator that has a credential with this identifier; no secret is checked."""
        store = self._store_writer.store
        items = await self._store_writer.run_sync(lambda: store.items(OPERATOR_KIND))
        records = [msgspec.json.decode(item.body, type=OperatorRecord) for item in items]
        return next(
            (each for each in records if any(c.credential_id == credential_id for c in each.credentials)),
            None,
        )
