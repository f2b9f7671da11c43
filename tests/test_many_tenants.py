"""The number of tenants is limited by the routers' places alone, not at 1,000.

`Store.items` returned at most 1,000 rows by default, and the control plane read its tenants with that
default. From the 1,001st on, tenants were missing from the routers' feed and from the places in use, so
places were assigned twice. Two tenants with one place made routers refuse the whole feed
(`place 0 told for two`).
"""

import msgspec
import pytest
import trio
from admin_api import CHEAP_HASHER, run_in_trio, serve_api
from loguru import logger

from gaugehinge.admin.config import ControlPlaneConfig
from gaugehinge.admin.errors import ResourceConflictError
from gaugehinge.admin.process import _prepare
from gaugehinge.admin.records import (
    OPERATOR_KIND,
    SERVER_ORDER_KIND,
    TENANT_KIND,
    TOMBSTONE_KIND,
    UNPLACED,
    TenantRecord,
    decode_tenant,
)
from gaugehinge.admin.types import NewTenant
from gaugehinge.hosted.tenant_registry import TenantRegistry
from gaugehinge.store.async_store import AsyncStore
from gaugehinge.store.records import Mutation, encode
from gaugehinge.store.store import Store
from gaugehinge.tenancy.feed import MAX_TENANTS, Report

CONFIG = ControlPlaneConfig(store="unused", listen="127.0.0.1:1")


def tenant_record(number: int, place: int = UNPLACED, stage: str = "active") -> TenantRecord:
    return TenantRecord(f"t{number:05}", number, stage, 1.0, 0.0, False, 1.0, 5.0, 1.0, place=place)


def write_store(path, records: list[TenantRecord], kind: str = TENANT_KIND) -> None:
    """Write tenant records straight to a store, as an older version may have left them."""
    store = Store(path)
    store.apply([Mutation(kind, each.name, encode(each), 0) for each in records], "old", 1.0)
    store.close()


def run_with_control_plane(path, scenario):
    """Start a control plane on a store and return the result of `scenario(control_plane)`."""

    async def main():
        store_writer = AsyncStore(path)
        try:
            return await scenario(await _prepare(CONFIG, store_writer, CHEAP_HASHER, ()))
        finally:
            store_writer.close()

    return trio.run(main)


async def poll_into_registry(control_plane) -> TenantRegistry:
    """Return a router's registry after its first poll.

    Also checks that a registry restored from its snapshot has the same incarnations.
    """
    registry, restored = TenantRegistry(), TenantRegistry()
    registry.follow(await control_plane.feed.poll(Report("r1", "run")))
    restored.follow(registry.snapshot())
    assert restored.by_incarnation.keys() == registry.by_incarnation.keys()
    return registry


@pytest.mark.parametrize("count", [1000, 1001, 4000])
@pytest.mark.parametrize("placed", [True, False])
def test_all_stored_tenants_reach_the_routers_after_a_start(tmp_path, count, placed):
    path = tmp_path / "s.db"
    write_store(
        path, [tenant_record(number, number - 1 if placed else UNPLACED) for number in range(1, count + 1)]
    )
    for _ in range(2):  # the second start reads what the first one wrote
        registry = run_with_control_plane(path, poll_into_registry)
        assert len(registry.by_incarnation) == len(registry.by_index) == count
        assert sum(tenant.quota > 0 for tenant in registry.tenants()) == count


def test_tenant_created_after_1501_others_gets_a_free_place(tmp_path):
    path = tmp_path / "s.db"
    write_store(path, [tenant_record(number, number - 1) for number in range(1, 1502)])

    async def scenario(control_plane):
        await control_plane.tenants.create(NewTenant("zz"), "test")
        return await poll_into_registry(control_plane)

    registry = run_with_control_plane(path, scenario)
    assert len(registry.by_index) == 1502 and registry.by_index[1501].name == "zz"


def test_places_assigned_twice_by_an_older_version_are_reassigned(tmp_path):
    path = tmp_path / "s.db"
    write_store(path, [tenant_record(number, (number - 1) % 1000) for number in range(1, 1201)])
    registry = run_with_control_plane(path, poll_into_registry)
    assert len(registry.by_index) == 1200
    assert [registry.by_incarnation[number].tenant_index for number in (1, 1000)] == [0, 999]


def test_creating_a_tenant_beyond_the_limit_fails_and_existing_ones_are_served(tmp_path):
    path = tmp_path / "s.db"
    write_store(path, [tenant_record(number, number - 1) for number in range(1, MAX_TENANTS + 1)])

    async def scenario(control_plane):
        with pytest.raises(ResourceConflictError, match="4096 tenants stand"):
            await control_plane.tenants.create(NewTenant("zz"), "test")
        return await poll_into_registry(control_plane)

    assert len(run_with_control_plane(path, scenario).by_incarnation) == MAX_TENANTS


def test_store_with_more_tenants_than_places_serves_those_with_places_and_logs_an_error(tmp_path):
    """An older version accepted 5,000 tenants; routers refused the whole feed: places were out of range."""
    path, logged_errors = tmp_path / "s.db", []
    write_store(path, [tenant_record(number) for number in range(1, 5001)])
    handler = logger.add(lambda message: logged_errors.append(str(message)), level="ERROR")
    try:
        registry = run_with_control_plane(path, poll_into_registry)
    finally:
        logger.remove(handler)
    assert len(registry.by_incarnation) == MAX_TENANTS
    assert [each for each in logged_errors if "904 tenants have no place" in each]


def test_more_than_1000_tombstones_operators_and_server_orders_are_all_read(tmp_path):
    path = tmp_path / "s.db"
    count = 1100
    write_store(
        path, [tenant_record(number, number - 1, "leaving") for number in range(1, count + 1)], TOMBSTONE_KIND
    )
    store = Store(path)
    for kind in (OPERATOR_KIND, SERVER_ORDER_KIND):
        body = msgspec.json.encode({"name": "x", "role": "reader"})
        store.apply([Mutation(kind, f"n{number:05}", body, 0) for number in range(count)], "old", 1.0)
    assert len(store.items(TOMBSTONE_KIND)) == len(store.items(SERVER_ORDER_KIND)) == count
    assert len(store.changes(0)) == 3 * count
    for number in range(150):
        store.apply([Mutation(OPERATOR_KIND, "n00001", b"%d" % number)], "old", 1.0)
    assert len(store.history(OPERATOR_KIND, "n00001")) == 151
    store.close()
    assert len(run_with_control_plane(path, poll_into_registry).by_incarnation) == count


def test_api_pagination_returns_all_tenants(tmp_path):
    async def scenario():
        async with serve_api(tmp_path) as api:
            records = [tenant_record(number, number - 1) for number in range(1, 1202)]
            mutations = [Mutation(TENANT_KIND, each.name, encode(each), 0) for each in records]
            await api.store_writer.apply(mutations, "test")
            names, after = [], ""
            while after is not None:
                page = (await api("GET", f"/v1/tenants?limit=500&after={after}")).json()
                names += [tenant["name"] for tenant in page["tenants"]]
                after = page["next"]
            assert names == [each.name for each in records]
            items = api.store_writer.store.items(TENANT_KIND)
            assert [decode_tenant(item).place for item in items] == list(range(1201))

    run_in_trio(scenario)
