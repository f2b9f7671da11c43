"""The administration API: tenants, pages, concurrent changes, idempotency keys and watches."""

import trio
from admin_api import run_in_trio, serve_api

from gaugehinge.admin.tombstones import sweep_tombstones


def test_tenant_lifecycle(tmp_path):
    async def scenario():
        async with serve_api(tmp_path) as root:
            made = await root.create_tenant("acme", share=2.0, allowance=100.0, memory=10.0)
            assert made.status_code == 201
            assert made.json()["stage"] == "created"
            assert made.headers["location"] == "/v1/tenants/acme"
            active = await root("POST", "/v1/tenants/acme/activate", etag=made.headers["etag"])
            assert active.json()["stage"] == "active"
            changed = await root(
                "PATCH", "/v1/tenants/acme", {"allowance": 50.0}, etag=active.headers["etag"]
            )
            assert changed.json()["allowance"] == 50.0
            assert changed.json()["share"] == 2.0
            for name in ("suspend", "suspend", "activate"):
                found = await root("GET", "/v1/tenants/acme")
                assert (
                    await root("POST", f"/v1/tenants/acme/{name}", etag=found.headers["etag"])
                ).status_code == 200
            found = await root("GET", "/v1/tenants/acme")
            assert (await root("DELETE", "/v1/tenants/acme", etag=found.headers["etag"])).status_code == 204
            assert (await root("GET", "/v1/tenants/acme")).status_code == 404
            # The name is another tenant's at once; the old one stands as a tombstone while its marks live.
            again = await root.create_tenant("acme", memory=10.0)
            assert again.status_code == 201
            assert again.json()["incarnation"] > found.json()["incarnation"]
            assert await sweep_tombstones(root.control_plane) == 0
            root.clock[0] += 11.0
            assert await sweep_tombstones(root.control_plane) == 0
            root.clock[0] += 20.0
            assert await sweep_tombstones(root.control_plane) == 1
            kinds = [
                (c["kind"], c["ident"], c["removed"])
                for c in (await root("GET", "/v1/audit")).json()["changes"]
            ]
            assert ("tombstone", "acme#1", True) in kinds
            assert ("tenant", "acme", True) in kinds
            root.store_writer.store.verify()

    run_in_trio(scenario)


def test_new_store_skips_incarnations_of_a_lost_one(tmp_path):
    async def scenario():
        async with serve_api(tmp_path) as root:
            root.control_plane.tenants.incarnation_floor = 40
            numbers = [(await root.create_tenant(name)).json()["incarnation"] for name in ("acme", "bolt")]
            assert numbers == [41, 42]

    run_in_trio(scenario)


def test_concurrent_changes_fail_on_the_revision(tmp_path):
    async def scenario():
        async with serve_api(tmp_path) as root:
            etag = (await root.create_tenant("acme")).headers["etag"]
            answers = []

            async def resize(share):
                answers.append(await root("PATCH", "/v1/tenants/acme", {"share": share}, etag=etag))

            async with trio.open_nursery() as nursery:
                for share in (2.0, 3.0):
                    nursery.start_soon(resize, share)
            assert sorted(a.status_code for a in answers) == [200, 412]
            lost = next(a for a in answers if a.status_code == 412)
            assert lost.headers["etag"] == (await root("GET", "/v1/tenants/acme")).headers["etag"]
            assert (await root("PATCH", "/v1/tenants/acme", {"share": 9.0})).status_code == 428
            assert (await root("PATCH", "/v1/tenants/acme", {"share": 9.0}, etag="*")).status_code == 412
            statuses = []

            async def create():
                statuses.append((await root.create_tenant("birch")).status_code)

            async with trio.open_nursery() as nursery:
                for _ in range(8):
                    nursery.start_soon(create)
            assert sorted(statuses) == [201] + [409] * 7

    run_in_trio(scenario)


def test_idempotency_key_runs_a_call_once(tmp_path):
    async def scenario():
        async with serve_api(tmp_path) as root:
            body = {"name": "acme", "share": 2.0}
            first = await root("POST", "/v1/tenants", body, Idempotency_Key="k1")
            again = await root("POST", "/v1/tenants", body, Idempotency_Key="k1")
            assert first.status_code == again.status_code == 201
            assert first.json() == again.json()
            assert again.headers["idempotent-replayed"] == "true"
            other = await root("POST", "/v1/tenants", {"name": "birch"}, Idempotency_Key="k1")
            assert other.status_code == 422
            assert other.json()["field"] == "Idempotency-Key"
            made = await root("POST", "/v1/tenants/acme/credentials", {}, Idempotency_Key="k2")
            assert made.status_code == 201
            assert made.json()["secret"].startswith("gh_")
            assert (
                await root("POST", "/v1/tenants/acme/credentials", {}, Idempotency_Key="k2")
            ).status_code == 409
            whole = (tmp_path / "s.db").read_bytes() + (tmp_path / "s.db-wal").read_bytes()
            assert made.json()["secret"].encode() not in whole, "a secret is shown once and kept nowhere"
            assert (await root("POST", "/v1/tenants", body, Idempotency_Key="k" * 201)).status_code == 422

    run_in_trio(scenario)


def test_pages_are_complete_while_tenants_are_added(tmp_path):
    async def scenario():
        async with serve_api(tmp_path) as root:
            names = [f"t-{i:03d}" for i in range(25)]
            for name in names:
                root.clock[0] += 1.0
                assert (await root.create_tenant(name)).status_code == 201
            found, after = [], ""
            while after is not None:
                page = (await root("GET", f"/v1/tenants?limit=7&after={after}")).json()
                found += [each["name"] for each in page["tenants"]]
                after = page["next"]
                root.clock[0] += 1.0
                await root.create_tenant(f"a-{len(found):03d}")  # before the place that was reached
            assert found == names

    run_in_trio(scenario)


def test_watch_returns_on_the_first_change(tmp_path):
    async def scenario():
        async with serve_api(tmp_path) as root:
            since = (await root("GET", "/v1/audit")).json()["revision"]
            heard = []

            async def watch():
                heard.append((await root("GET", f"/v1/audit?since={since}&wait=20")).json())

            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch)
                await trio.sleep(0.05)
                await root.create_tenant("acme")
            assert heard[0]["changes"][0]["ident"] == "acme"
            assert (await root("GET", "/v1/audit?since=9999")).status_code == 410

    run_in_trio(scenario)
