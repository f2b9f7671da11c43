"""Tenants: creation, settings, lifecycle and credentials.

A change that names the revision that its caller read fails if the tenant has changed since, so of two
concurrent changes the later one fails. Removing a tenant frees its name at once; a tombstone remains until
the tenant's deduplication marks have expired.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import trio

from ..store.async_store import AsyncStore
from ..store.records import Change, Item, Mutation, encode
from ..store.store import Store
from ..tenancy.credentials import SecretHasher, revoke, rotate
from ..tenancy.lifecycle import (
    LifecycleError,
    TenantAction,
    TenantIncarnation,
    apply_action,
    create_incarnation,
)
from .errors import NotFoundError, ResourceConflictError
from .places import allocate_place
from .records import (
    COUNTER_KIND,
    INCARNATION_COUNTER,
    TENANT_KIND,
    TOMBSTONE_KIND,
    TenantRecord,
    decode_tenant,
    tenant_item,
)
from .transactions import IdempotencyKey, commit, no_response
from .types import NewTenant, Page, Secret, Tenant, TenantChange, tenant_resource

RecordUpdate = Callable[[TenantRecord, float], TenantRecord]
"""Returns a tenant's new record, given the old one and the wall-clock time in seconds."""


class Tenants:
    """Reads and changes the tenants in the store."""

    def __init__(self, store_writer: AsyncStore, hasher: SecretHasher) -> None:
        self._store_writer = store_writer
        self._hasher = hasher
        # New incarnations are numbered above this floor. A new store, or one restored from a copy, does not
        # know which incarnations a lost store assigned. With the floor at the Unix time of the start, it
        # assigns none of them again, provided that they were assigned in earlier seconds.
        self.incarnation_floor = 0

    async def list_page(self, after: str, limit: int) -> Page:
        """Return up to `limit` tenants whose names sort after `after`, and where the next page begins."""
        store = self._store_writer.store
        items = await self._store_writer.run_sync(lambda: store.items(TENANT_KIND, after, limit + 1))
        tenants = [_resource_of(item) for item in items[:limit]]
        return Page(tenants, tenants[-1].name if len(items) > limit else None)

    async def get(self, name: str) -> Tenant:
        """Return one tenant.

        Raises:
            NotFoundError: There is no such tenant.
        """
        store = self._store_writer.store
        return _resource_of(await self._store_writer.run_sync(lambda: tenant_item(store, name)))

    async def create(self, new: NewTenant, actor: str, idempotency: IdempotencyKey | None = None) -> Tenant:
        """Create a tenant. The name of a removed tenant may be reused; the new one is another incarnation.

        Raises:
            ResourceConflictError: The name is taken, or there are too many tenants.
        """

        def plan(store: Store, now: float) -> list[Mutation]:
            current = store.get(TENANT_KIND, new.name)
            counter = store.get(COUNTER_KIND, INCARNATION_COUNTER)
            # An incarnation that a lost store assigned must not be reused: its key space on the cache servers
            # still holds the former tenant's values.
            last_incarnation = max(int(counter.body) if counter else 0, self.incarnation_floor)
            tenancy = _new_tenancy(new.name, current, last_incarnation, now)
            record = _new_record(new, tenancy, allocate_place(store), now)
            return [
                Mutation(TENANT_KIND, new.name, encode(record), current.revision if current else 0),
                Mutation(
                    COUNTER_KIND,
                    INCARNATION_COUNTER,
                    b"%d" % tenancy.incarnation,
                    counter.revision if counter else 0,
                ),
            ]

        changes = await commit(self._store_writer, plan, actor, idempotency, _encode_tenant)
        return _resource_of(changes[0])

    async def update(self, name: str, change: TenantChange, if_match: int, actor: str) -> Tenant:
        """Change settings of a tenant; unset fields keep their values.

        Raises:
            NotFoundError: There is no such tenant.
            PreconditionFailedError: The tenant changed since revision `if_match`.
        """
        fields = {
            field: value
            for field, value in msgspec.structs.asdict(change).items()
            if value is not msgspec.UNSET
        }
        return await self._update_record(
            name, if_match, actor, lambda record, now: msgspec.structs.replace(record, **fields)
        )

    async def transition(self, name: str, action: TenantAction, if_match: int | None, actor: str) -> Tenant:
        """Activate or suspend a tenant.

        Raises:
            NotFoundError: There is no such tenant.
            PreconditionFailedError: The tenant changed since revision `if_match`.
            ResourceConflictError: The tenant's stage does not allow the action.
        """

        def update_record(record: TenantRecord, now: float) -> TenantRecord:
            try:
                return record.with_tenancy(apply_action(record.tenancy, action, record.memory, now))
            except LifecycleError as error:
                raise ResourceConflictError(str(error)) from error

        return await self._update_record(name, if_match, actor, update_record)

    async def remove(self, name: str, if_match: int, actor: str) -> None:
        """Remove a tenant: free its name and replace its record with a tombstone.

        Raises:
            NotFoundError: There is no such tenant.
            PreconditionFailedError: The tenant changed since revision `if_match`.
        """

        def plan(store: Store, now: float) -> list[Mutation]:
            item = tenant_item(store, name, if_match)
            record = decode_tenant(item)
            leaving = record.with_tenancy(
                apply_action(record.tenancy, TenantAction.REMOVE, record.memory, now)
            )
            tombstone = msgspec.structs.replace(leaving, credentials=[])  # no client can authenticate
            return [
                Mutation(TENANT_KIND, name, None, item.revision),
                Mutation(TOMBSTONE_KIND, f"{name}#{record.incarnation}", encode(tombstone), 0),
            ]

        await commit(self._store_writer, plan, actor)

    async def add_credential(
        self, name: str, overlap: float, actor: str, idempotency: IdempotencyKey | None = None
    ) -> Secret:
        """Add a credential and return its secret, which is not stored.

        Args:
            name: The tenant.
            overlap: Seconds for which the current credential stays valid.
            actor: Who makes the change, as the audit log shows it.
            idempotency: Set if the call carried an idempotency key.

        Raises:
            NotFoundError: There is no such tenant.
        """
        secret, credential = await trio.to_thread.run_sync(self._hasher.issue, self._store_writer.clock())

        def plan(store: Store, now: float) -> list[Mutation]:
            item = tenant_item(store, name)
            record = decode_tenant(item)
            credentials = list(rotate(record.credentials, credential, overlap, now))
            record = msgspec.structs.replace(record, credentials=credentials)
            return [Mutation(TENANT_KIND, name, encode(record), item.revision)]

        await commit(self._store_writer, plan, actor, idempotency, no_response)
        return Secret(credential.credential_id, secret)

    async def revoke_credential(self, name: str, credential_id: str, actor: str) -> None:
        """Revoke a credential with immediate effect.

        Raises:
            NotFoundError: There is no such tenant, or it has no such credential.
        """

        def update_record(record: TenantRecord, now: float) -> TenantRecord:
            try:
                credentials = list(revoke(record.credentials, credential_id))
            except KeyError as error:
                raise NotFoundError(f"no credential {credential_id}") from error
            return msgspec.structs.replace(record, credentials=credentials)

        await self._update_record(name, None, actor, update_record)

    async def _update_record(
        self, name: str, if_match: int | None, actor: str, update_record: RecordUpdate
    ) -> Tenant:
        def plan(store: Store, now: float) -> list[Mutation]:
            item = tenant_item(store, name, if_match)
            return [
                Mutation(TENANT_KIND, name, encode(update_record(decode_tenant(item), now)), item.revision)
            ]

        changes = await commit(self._store_writer, plan, actor)
        return _resource_of(changes[0])


def _new_tenancy(name: str, current: Item | None, last_incarnation: int, now: float) -> TenantIncarnation:
    try:
        return create_incarnation(
            name, [decode_tenant(current).tenancy] if current else [], last_incarnation, now
        )
    except LifecycleError as error:
        raise ResourceConflictError(str(error), "name") from error


def _new_record(new: NewTenant, tenancy: TenantIncarnation, place: int, now: float) -> TenantRecord:
    return TenantRecord(
        name=new.name,
        incarnation=tenancy.incarnation,
        stage=tenancy.stage.value,
        since=now,
        marks_until=0.0,
        clear=False,
        share=new.share,
        allowance=new.allowance,
        memory=new.memory,
        place=place,
        traffic=new.traffic,
        longest_wait=new.longest_wait,
        most_value=new.most_value,
    )


def _resource_of(item: Item | Change) -> Tenant:
    return tenant_resource(decode_tenant(item), item.revision)


def _encode_tenant(changes: list[Change]) -> bytes:
    return msgspec.json.encode(_resource_of(changes[0]))
