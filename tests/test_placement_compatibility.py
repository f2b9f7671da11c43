"""Data that the previous version stored and sent is read, and written unchanged.

The data is described in tests/data/placement/README.md.
"""

import json
from pathlib import Path
from types import SimpleNamespace

import msgspec
import pytest

from gaugehinge.admin.config import PlacementConfig
from gaugehinge.forms.units import Rate, Seconds
from gaugehinge.placement.capacity import CapacityPlanner
from gaugehinge.placement.control_plane import PlacementControlPlane
from gaugehinge.placement.lifecycle import Stage
from gaugehinge.placement.messages import (
    ControlPlaneUpdate,
    RelabelledServer,
    RouterReport,
    ServerListChunk,
)
from gaugehinge.placement.quotas import ChangeBudget
from gaugehinge.placement.records import ShardRecord
from gaugehinge.placement.server_inventory import ServerPresence
from gaugehinge.placement.server_snapshots import read_snapshot
from gaugehinge.placement.shard_table import ShardAssignment, ShardTable
from gaugehinge.placement.store_reader import tenant_names
from gaugehinge.placement.sweep import sweep_changes
from gaugehinge.store.records import Mutation, encode
from gaugehinge.store.store import Store

WRITTEN = json.loads((Path(__file__).parent / "data/placement/version-before.json").read_text())
KINDS = {
    "shard": ShardRecord,
    "shard-budget": ChangeBudget,
    "shard-crowd": list[ServerPresence],
    "shard-note": list[RelabelledServer],
}
MESSAGES = {
    "report": RouterReport,
    "report_with_lost_pin": RouterReport,
    "server_chunk": ServerListChunk,
    "update": ControlPlaneUpdate,
    "complete_update": ControlPlaneUpdate,
}
SETTINGS = PlacementConfig(
    True, {"eu": ("a",), "us": ("b",), "ap": ("c",)}, Rate(1000.0), Seconds(5.0), Seconds(0.5), Seconds(3.0)
)


@pytest.fixture
def store(tmp_path):
    """A store with items of the previous version: those of the shards, and the tenant while it existed."""
    opened = Store(tmp_path / "store.db")
    items = [*WRITTEN["items"], *(item for item in WRITTEN["tenants"] if item["kind"] == "tenant")]
    for item in sorted(items, key=lambda item: item["rev"]):
        opened.apply([Mutation(item["kind"], item["ident"], item["body"].encode())], "before", 1e9)
    yield opened
    opened.close()


def control_plane(store: Store) -> PlacementControlPlane:
    """The control plane's placement on a store, without the rest of the administration."""
    store_writer = SimpleNamespace(store=store, clock=lambda: 1e9)
    administration = SimpleNamespace(store_writer=store_writer, leases=SimpleNamespace(duration=2.0))
    placement = PlacementControlPlane(administration, SETTINGS, clock=lambda: 0.0)
    placement.index.refresh(store)
    return placement


@pytest.mark.parametrize("kind", KINDS)
def test_each_kind_of_item_is_read_and_written_unchanged(kind):
    bodies = [item["body"].encode() for item in WRITTEN["items"] if item["kind"] == kind]
    assert bodies
    for body in bodies:
        assert encode(msgspec.json.decode(body, type=KINDS[kind])) == body


@pytest.mark.parametrize("name", MESSAGES)
def test_each_message_is_read_and_written_unchanged(name):
    body = WRITTEN["messages"][name].encode()
    assert msgspec.json.encode(msgspec.json.decode(body, type=MESSAGES[name])) == body


def test_records_of_all_stages_are_sent_to_routers_as_before(store):
    index = control_plane(store).index
    records = [record for record, _ in index.shards.values()]
    assert {record.stage for record in records} == set(Stage) - {Stage.REMOVED}
    changes = index.changes_since(0)
    assert changes.is_complete
    written = {row["shard"]: row for row in WRITTEN["rows"]}
    sent = {row.shard: msgspec.to_builtins(row) for row in changes.assignments}
    for row in (*written.values(), *sent.values()):
        del row["rev"]  # revisions differ: the items were written to another store
    assert msgspec.json.encode(sent) == msgspec.json.encode({shard: written[shard] for shard in sent})
    assert sent.keys() == written.keys()
    assert sorted(index.needs_work) == sorted(
        f"1/{record.shard}"
        for record in records
        if record.stage not in (Stage.CONFINED, Stage.APPLIED, Stage.QUARANTINED) or record.retries_blocked
        if record.stage is not Stage.QUARANTINED
    )


def test_records_are_shown_to_tenants_as_before(store):
    placement = control_plane(store)
    volatile_fields = ("stage", "waits_for", "copies")  # depend on the run and on the servers that it knows
    for record, revision in placement.index.shards.values():
        shown = msgspec.to_builtins(placement.changes.presenter.view(store, record, revision))
        written = WRITTEN["views"][record.shard]
        assert list(shown) == list(written)
        for field in volatile_fields:
            del shown[field], written[field]
        assert json.loads(msgspec.json.encode(shown)) == written


def test_snapshots_notes_budgets_and_tenants_are_found(store):
    placement = control_plane(store)
    confined = placement.index.shards["1/done"].record
    assert {server.zone for server in read_snapshot(store, confined.server_snapshot)} == {"a", "b", "c"}
    assert [server.uid for server in placement.servers.stored_relabelled(store)] == ["server-0"]
    assert tenant_names(store) == {1: "acme"}
    budget = placement.changes._charge_budget(store, 1, 1e9)
    assert budget.expected_revision == store.get("shard-budget", "1").revision
    assert sweep_changes(store, placement.index) == [], "nothing may be swept: all items are in use"


def test_a_tombstone_frees_what_its_tenant_had_reserved(store):
    placement = control_plane(store)
    planner = CapacityPlanner(placement.index, placement.servers, SETTINGS)
    assert planner.regions(store).reserved
    (tombstone,) = [item for item in WRITTEN["tenants"] if item["kind"] == "tombstone"]
    body = json.loads(tombstone["body"])
    store.apply([Mutation("tenant", "acme", None)], "before", 1e9)
    for clear in (False, True):
        body["clear"] = clear
        store.apply([Mutation("tombstone", tombstone["ident"], json.dumps(body).encode())], "before", 1e9)
        assert tenant_names(store) == {1: "acme"}
        assert bool(planner.regions(store).reserved) is not clear
    store.apply([Mutation("tombstone", tombstone["ident"], None)], "before", 1e9)
    swept = {change.kind for change in sweep_changes(store, placement.index)}
    assert swept == {"shard", "shard-budget"}, "snapshots are only removed once no shard names them"


def test_a_router_applies_the_update_of_the_previous_version():
    update = msgspec.json.decode(WRITTEN["messages"]["complete_update"], type=ControlPlaneUpdate)
    assert update.is_complete
    table = ShardTable()
    table.update(update.assignments, update.removed, update.is_complete)
    assert table.find(b"1/done/k").regions == (frozenset("c"),)
    assert table.find(b"1/moves/k").regions == (frozenset("b"), frozenset("c"))
    assert table.find(b"1/soft/k").regions == (frozenset("b"), frozenset("a"), None)
    assert table.find(b"1/lost/k").regions == ()
    assert table.find(b"1/moves/k").retries_blocked
    assert all(isinstance(each, ShardAssignment) for each in table.assignments.values())
