"""Store files and messages of an earlier version are read completely; see `data/README.md`."""

import json
import shutil
from contextlib import closing
from pathlib import Path

import msgspec
import pytest
import trio

from gaugehinge.store.async_store import AsyncStore
from gaugehinge.store.records import Mutation, encode
from gaugehinge.store.snapshots import newest_snapshot, restore, snapshot_path
from gaugehinge.store.store import Store
from gaugehinge.tenancy.credentials import Credential, SecretHasher
from gaugehinge.tenancy.feed import Feed, Report

DATA = Path(__file__).parent / "data"
STORE = DATA / "store-2f1733f.db"
SNAPSHOT = DATA / "store-2f1733f.snapshot.db"
WRITTEN = json.loads((DATA / "store-2f1733f.json").read_text())
FILES = {"store": STORE, "snapshot": SNAPSHOT}
KINDS = {
    "counter",
    "drains-ground",
    "drains-limit",
    "drains-node",
    "drains-roll",
    "drains-step",
    "operator",
    "server",
    "shard",
    "shard-budget",
    "shard-crowd",
    "shard-note",
    "tenant",
    "tombstone",
}


class StoredCredentials(msgspec.Struct):
    """The part of a stored tenant or operator that belongs to `tenancy`."""

    credentials: list[Credential]


@pytest.fixture(params=FILES)
def written(request, tmp_path):
    """Return the contents that the earlier version wrote and read, and the path of a copy of its file."""
    path = tmp_path / "store.db"
    shutil.copyfile(FILES[request.param], path)
    return WRITTEN[request.param], path


def test_every_item_of_an_earlier_version_is_read(written):
    expected, path = written
    with closing(Store(path, read_only=True)) as store:
        store.verify()
        contents = store.read_all()
    assert contents.revision == expected["revision"]
    found = [[item.kind, item.item_id, item.revision, item.body.decode()] for item in contents.items]
    assert found == expected["items"]
    assert {item.kind for item in contents.items} == KINDS


def test_every_change_of_an_earlier_version_is_read(written):
    expected, path = written
    with closing(Store(path, read_only=True)) as store:
        changes = store.changes(0)
        digests = {str(change.revision): store.revision_digest(change.revision) for change in changes}
        assert store.oldest_revision == expected["oldest_revision"] > 1, "its log was compacted"
    found = [
        [
            change.revision,
            change.timestamp,
            change.actor,
            change.kind,
            change.item_id,
            None if change.body is None else change.body.decode(),
        ]
        for change in changes
    ]
    assert found == expected["changes"] and any(row[-1] is None for row in found), (
        "the changes include a removal"
    )
    assert digests == expected["digests"]


def test_responses_recorded_by_an_earlier_version_are_replayed(written):
    expected, path = written
    with closing(Store(path, read_only=True)) as store:
        for actor, key, request, response, _ in expected["responses"]:
            found = store.recorded_response(actor, key)
            assert (found.request.hex(), found.response.decode()) == (request, response)
    assert expected["responses"]


def test_equal_values_are_encoded_as_an_earlier_version_did(written):
    expected, _ = written
    for kind, item_id, _, body in expected["items"]:
        assert encode(msgspec.json.decode(body)) == body.encode(), (kind, item_id)
    tenants = [msgspec.json.decode(body) for kind, _, _, body in expected["items"] if kind == "tenant"]
    for stored in (credential for tenant in tenants for credential in tenant["credentials"]):
        credential = msgspec.convert(stored, Credential)
        assert encode(credential) == encode(stored)


def test_secrets_issued_by_an_earlier_version_are_accepted(written):
    expected, _ = written
    bodies = {item_id: body for kind, item_id, _, body in expected["items"] if kind in ("tenant", "operator")}
    hasher = SecretHasher(time_cost=1, memory_kib=64)
    for account, secret in WRITTEN["secrets"].items():
        credentials = msgspec.json.decode(bodies[account.split()[0]], type=StoredCredentials).credentials
        assert hasher.find_match(secret, credentials, now=1_000_030.0) == secret.split("_")[1]
        assert hasher.find_match(secret + "x", credentials, now=1_000_030.0) is None


def test_a_store_of_an_earlier_version_is_continued(written):
    expected, path = written

    async def scenario():
        store = AsyncStore(path)
        [change] = await store.apply([Mutation("server", "c-8", encode("drain"), 0)], "root")
        assert change.revision == expected["revision"] + 1
        snapshot = await store.take_snapshot()
        assert newest_snapshot(path) == (snapshot, change.revision)
        await store.run_sync(store.store.verify)
        store.close()

    trio.run(scenario)


def test_a_snapshot_of_an_earlier_version_is_restored(tmp_path):
    path = tmp_path / "store.db"
    revision = WRITTEN["snapshot"]["revision"]
    shutil.copyfile(STORE, path)
    shutil.copyfile(SNAPSHOT, snapshot_path(path, revision))
    snapshot = newest_snapshot(path)
    assert snapshot.revision == revision and restore(snapshot.path, path) == revision
    with closing(Store(path)) as store:
        store.verify()
        assert store.revision == revision < WRITTEN["store"]["revision"]


@pytest.mark.parametrize("name, message_type", [("feed", Feed), ("report", Report)])
def test_messages_of_an_earlier_version_are_read_and_encoded_alike(name, message_type):
    encoded = (DATA / f"{name}-2f1733f.json").read_bytes().strip()
    message = msgspec.json.decode(encoded, type=message_type)
    assert msgspec.json.encode(message) == encoded
    for field in msgspec.structs.fields(message_type):
        assert getattr(message, field.name) != field.default, f"{field.name} was not read"
