"""Tenants of a new or restored store never get data or connections of a tenant of the lost store.

Keys at cache servers and the origin begin with the tenant's incarnation number (`3f/key`). A new store used
to count from 1 again, and a restored copy allocated the numbers again that had been allocated since the copy.
Routers then took a tenant of the same name and number for the earlier one: it read the earlier tenant's
values, and connections authenticated with the earlier tenant's secret stayed authenticated.
"""

import shutil

import trio
from admin_api import CHEAP_HASHER

from gaugehinge.admin.config import ControlPlaneConfig
from gaugehinge.admin.process import _prepare
from gaugehinge.admin.types import NewTenant
from gaugehinge.hosted.tenant_registry import TenantRegistry
from gaugehinge.store.async_store import AsyncStore
from gaugehinge.tenancy.credentials import Credential
from gaugehinge.tenancy.feed import Feed, TenantRow


def allocate_incarnations(path, now: list[float], names: list[str], config: ControlPlaneConfig) -> list[int]:
    """Start a control plane on a store as its process does, create tenants and return their incarnations."""

    async def scenario() -> list[int]:
        store_writer = AsyncStore(path, lambda: now[0])
        control_plane = await _prepare(config, store_writer, CHEAP_HASHER, ())
        made = [await control_plane.tenants.create(NewTenant(name), "test") for name in names]
        store_writer.close()
        return [tenant.incarnation for tenant in made]

    return trio.run(scenario)


def test_new_store_reuses_no_incarnation_of_the_lost_one(tmp_path):
    config = ControlPlaneConfig(store="unused", listen="127.0.0.1:1")
    now = [1_800_000_000.0]
    first = allocate_incarnations(tmp_path / "first.db", now, ["acme", "bolt", "cord"], config)
    now[0] += 60.0
    second = allocate_incarnations(tmp_path / "second.db", now, ["acme", "bolt", "cord"], config)
    assert len(set(first + second)) == 6


def test_restored_copy_reuses_no_incarnation_allocated_since(tmp_path):
    config = ControlPlaneConfig(store="unused", listen="127.0.0.1:1")
    now, path = [1_800_000_000.0], tmp_path / "s.db"
    first = allocate_incarnations(path, now, ["acme"], config)
    shutil.copy(path, tmp_path / "copy.db")
    now[0] += 60.0
    since = allocate_incarnations(path, now, ["bolt"], config)
    now[0] += 60.0
    again = allocate_incarnations(tmp_path / "copy.db", now, ["bolt"], config)
    assert len(set(first + since + again)) == 3


def test_higher_minimum_incarnation_in_the_configuration_is_used(tmp_path):
    config = ControlPlaneConfig(store="unused", listen="127.0.0.1:1", numbers_above=1 << 39)
    assert allocate_incarnations(tmp_path / "s.db", [1_800_000_000.0], ["acme"], config) == [(1 << 39) + 1]


def feed(store: str, secret_hash: str, credential_id: str = "c1") -> Feed:
    credential = Credential(credential_id, secret_hash, 1.0)
    row = TenantRow("acme", 1, 0, "active", 1.0, 10.0, [credential])
    return Feed(store, 5, True, [row])


def test_router_treats_same_name_and_incarnation_from_another_store_as_another_tenant():
    registry = TenantRegistry()
    registry.follow(feed("lost", "hash of the former"))
    former = registry.by_incarnation[1]
    change = registry.follow(feed("new", "hash of the new one", "c2"))
    assert former.removed and former.rejection_reason("c1", 2.0) == "authentication required"
    assert registry.by_incarnation[1] is not former
    assert change.reset_indexes == {0}, "the tables hold data of the former tenant"


def test_tenant_carried_over_with_its_credential_is_kept():
    registry = TenantRegistry()
    registry.follow(feed("lost", "one hash"))
    former = registry.by_incarnation[1]
    change = registry.follow(feed("new", "one hash"))
    assert registry.by_incarnation[1] is former and not former.removed and not change.reset_indexes
