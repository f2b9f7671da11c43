"""The administration API: races, repeats, roles, limits, bad input; against a plain model; on a socket."""

import json
import re
import signal
import subprocess
import time
from contextlib import asynccontextmanager

import children
import httpx
import pytest
import trio
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from gaugehinge.admin.app import BURST, MOST_BODY, Api
from gaugehinge.admin.keep import look_at_stones
from gaugehinge.admin.service import Administration
from gaugehinge.cli.main import main
from gaugehinge.emulator.ports import Ports
from gaugehinge.store.async_store import AsyncStore
from gaugehinge.store.errors import DiskFullError
from gaugehinge.tenancy.attempt_limiter import FAILURE_BURST as TRIES
from gaugehinge.tenancy.attempt_limiter import AttemptLimiter
from gaugehinge.tenancy.credentials import SecretHasher

CHEAP = SecretHasher(time_cost=1, memory_kib=64)


class Desk:
    """A client of the API with a secret."""

    def __init__(self, client, secret) -> None:
        self.client = client
        self.headers = {"Authorization": f"Bearer {secret}"}

    async def __call__(self, method, path, body=None, etag=None, **headers):
        told = {**self.headers, **{name.replace("_", "-"): value for name, value in headers.items()}}
        if etag is not None:
            told["If-Match"] = etag if isinstance(etag, str) else f'"{etag}"'
        return await self.client.request(method, path, json=body, headers=told)

    async def make(self, name, **figures):
        return await self("POST", "/v1/tenants", {"name": name, **figures})


@asynccontextmanager
async def office(path):
    """A store, its API and the first operator."""
    clock = [1_000_000.0]
    keeper = AsyncStore(path / "s.db", lambda: clock[0])
    administration = Administration(keeper, CHEAP, AttemptLimiter(1, clock[0]))
    secret = await administration.first_operator()
    transport = httpx.ASGITransport(Api(administration).app())
    async with httpx.AsyncClient(transport=transport, base_url="http://admin") as client:
        desk = Desk(client, secret)
        desk.clock, desk.administration, desk.keeper = clock, administration, keeper
        yield desk
    keeper.close()


def run(scene, *given) -> None:
    async def main():
        with trio.fail_after(60):
            await scene(*given)

    trio.run(main)


def test_a_tenants_whole_life(tmp_path):
    async def scene():
        async with office(tmp_path) as desk:
            made = await desk.make("acme", share=2.0, allowance=100.0, memory=10.0)
            assert made.status_code == 201 and made.json()["stage"] == "created"
            assert made.headers["location"] == "/v1/tenants/acme"
            active = await desk("POST", "/v1/tenants/acme/activate", etag=made.headers["etag"])
            assert active.json()["stage"] == "active"
            changed = await desk(
                "PATCH", "/v1/tenants/acme", {"allowance": 50.0}, etag=active.headers["etag"]
            )
            assert changed.json()["allowance"] == 50.0 and changed.json()["share"] == 2.0
            for name in ("suspend", "suspend", "activate"):
                found = await desk("GET", "/v1/tenants/acme")
                assert (
                    await desk("POST", f"/v1/tenants/acme/{name}", etag=found.headers["etag"])
                ).status_code == 200
            found = await desk("GET", "/v1/tenants/acme")
            assert (await desk("DELETE", "/v1/tenants/acme", etag=found.headers["etag"])).status_code == 204
            assert (await desk("GET", "/v1/tenants/acme")).status_code == 404
            # The name is another tenant's at once; the old one stands as a tombstone while its marks live.
            again = await desk.make("acme", memory=10.0)
            assert again.status_code == 201 and again.json()["incarnation"] > found.json()["incarnation"]
            assert await look_at_stones(desk.administration) == 0
            desk.clock[0] += 11.0
            assert await look_at_stones(desk.administration) == 0
            desk.clock[0] += 20.0
            assert await look_at_stones(desk.administration) == 1
            kinds = [
                (c["kind"], c["ident"], c["removed"])
                for c in (await desk("GET", "/v1/audit")).json()["changes"]
            ]
            assert ("tombstone", "acme#1", True) in kinds and ("tenant", "acme", True) in kinds
            desk.keeper.store.verify()

    run(scene)


def test_a_store_made_anew_gives_no_number_that_a_lost_one_gave(tmp_path):
    async def scene():
        async with office(tmp_path) as desk:
            desk.administration.numbers_above = 40
            numbers = [(await desk.make(name)).json()["incarnation"] for name in ("acme", "bolt")]
            assert numbers == [41, 42]

    run(scene)


def test_of_two_admins_one_is_told(tmp_path):
    async def scene():
        async with office(tmp_path) as desk:
            etag = (await desk.make("acme")).headers["etag"]
            answers = []

            async def resize(share):
                answers.append(await desk("PATCH", "/v1/tenants/acme", {"share": share}, etag=etag))

            async with trio.open_nursery() as nursery:
                for share in (2.0, 3.0):
                    nursery.start_soon(resize, share)
            assert sorted(a.status_code for a in answers) == [200, 412]
            lost = next(a for a in answers if a.status_code == 412)
            assert lost.headers["etag"] == (await desk("GET", "/v1/tenants/acme")).headers["etag"]
            assert (await desk("PATCH", "/v1/tenants/acme", {"share": 9.0})).status_code == 428
            assert (await desk("PATCH", "/v1/tenants/acme", {"share": 9.0}, etag="*")).status_code == 412
            statuses = []

            async def create():
                statuses.append((await desk.make("birch")).status_code)

            async with trio.open_nursery() as nursery:
                for _ in range(8):
                    nursery.start_soon(create)
            assert sorted(statuses) == [201] + [409] * 7

    run(scene)


def test_a_call_with_a_key_is_made_once(tmp_path):
    async def scene():
        async with office(tmp_path) as desk:
            body = {"name": "acme", "share": 2.0}
            first = await desk("POST", "/v1/tenants", body, Idempotency_Key="k1")
            again = await desk("POST", "/v1/tenants", body, Idempotency_Key="k1")
            assert first.status_code == again.status_code == 201 and first.json() == again.json()
            assert again.headers["idempotent-replayed"] == "true"
            other = await desk("POST", "/v1/tenants", {"name": "birch"}, Idempotency_Key="k1")
            assert other.status_code == 422 and other.json()["field"] == "Idempotency-Key"
            made = await desk("POST", "/v1/tenants/acme/credentials", {}, Idempotency_Key="k2")
            assert made.status_code == 201 and made.json()["secret"].startswith("gh_")
            assert (
                await desk("POST", "/v1/tenants/acme/credentials", {}, Idempotency_Key="k2")
            ).status_code == 409
            whole = (tmp_path / "s.db").read_bytes() + (tmp_path / "s.db-wal").read_bytes()
            assert made.json()["secret"].encode() not in whole, "a secret is shown once and kept nowhere"
            assert (await desk("POST", "/v1/tenants", body, Idempotency_Key="k" * 201)).status_code == 422

    run(scene)


def test_roles_see_and_change_only_theirs(tmp_path):
    async def scene():
        async with office(tmp_path) as desk:
            for name in ("acme", "birch"):
                await desk.make(name)
            office_of = desk.administration
            reader = Desk(desk.client, (await office_of.new_operator("eye", "reader", "", "root")).secret)
            mine = Desk(desk.client, (await office_of.new_operator("ann", "tenant", "acme", "root")).secret)
            for who, path, status in (
                (reader, "/v1/tenants", 200),
                (reader, "/v1/audit", 200),
                (reader, "/v1/tenants/birch", 200),
                (mine, "/v1/tenants/acme", 200),
                (mine, "/v1/tenants/birch", 403),
                (mine, "/v1/tenants", 403),
                (mine, "/v1/audit", 403),
                (mine, "/v1/tenants/none", 403),
            ):
                assert (await who("GET", path)).status_code == status, path
            assert (await reader.make("cedar")).status_code == 403 == (await mine.make("cedar")).status_code
            assert (await reader("DELETE", "/v1/tenants/acme", etag=1)).status_code == 403
            made = await mine("POST", "/v1/tenants/acme/credentials", {"overlap": 0})
            assert made.status_code == 201
            assert (await mine("POST", "/v1/tenants/birch/credentials", {})).status_code == 403
            path = f"/v1/tenants/acme/credentials/{made.json()['ident']}"
            assert [(await mine("DELETE", path)).status_code for _ in range(2)] == [204, 404]
            audit = json.dumps((await desk("GET", "/v1/audit?limit=500")).json())
            assert "argon2" not in audit and "hashed" not in audit and '"who": "ann"' in audit

    run(scene)


def test_a_wrong_secret_learns_nothing_and_tries_are_bounded(tmp_path):
    async def scene():
        async with office(tmp_path) as desk:
            told = set()
            good = desk.headers["Authorization"]
            for header in (
                "",
                "Bearer",
                "Bearer x",
                "Basic abc",
                good + "x",
                good.replace("gh_", "gh_0"),
                "Bearer gh_a_b",
            ):
                found = await desk.client.get("/v1/tenants", headers={"Authorization": header})
                told.add((found.status_code, found.text))
            assert len(told) == 1 and next(iter(told))[0] == 401
            statuses = [
                (
                    await desk.client.get("/v1/tenants", headers={"Authorization": f"Bearer gh_x{i}_y"})
                ).status_code
                for i in range(int(TRIES) + 5)
            ]
            assert statuses[-1] == 429
            assert (await desk("GET", "/v1/tenants")).status_code in (200, 429)

    run(scene)


def test_pages_go_through_all_in_order_while_others_come(tmp_path):
    async def scene():
        async with office(tmp_path) as desk:
            names = [f"t-{i:03d}" for i in range(25)]
            for name in names:
                desk.clock[0] += 1.0
                assert (await desk.make(name)).status_code == 201
            found, after = [], ""
            while after is not None:
                page = (await desk("GET", f"/v1/tenants?limit=7&after={after}")).json()
                found += [each["name"] for each in page["tenants"]]
                after = page["next"]
                desk.clock[0] += 1.0
                await desk.make(f"a-{len(found):03d}")  # before the place that was reached
            assert found == names

    run(scene)


@pytest.mark.parametrize(
    "body, status, field",
    [
        (b"{", 400, ""),
        (b"\xff", 400, ""),
        (b"[" * 100_000, 413, ""),
        (b"[" * 5000, 422, ""),
        (b"[]", 422, ""),
        (b"{}", 422, ""),
        (b'{"name": "Acme"}', 422, "name"),
        (b'{"name": "a", "share": -1}', 422, "share"),
        (b'{"name": "a", "share": "x"}', 422, "share"),
        (b'{"name": "a", "shares": 1}', 422, ""),
        (b'{"name": "a", "allowance": 1e300}', 422, "allowance"),
        (b'{"name": "' + b"a" * MOST_BODY + b'"}', 413, ""),
    ],
)
def test_a_bad_body_is_a_problem_that_names_the_field(tmp_path, body, status, field):
    async def scene():
        async with office(tmp_path) as desk:
            headers = {**desk.headers, "Content-Type": "application/json"}
            found = await desk.client.post("/v1/tenants", content=body, headers=headers)
            assert found.status_code == status, found.text
            assert found.headers["content-type"] == "application/problem+json"
            assert found.json().get("field", "") == field and found.json()["status"] == status
            wrong = await desk.client.post(
                "/v1/tenants", content=b"a=1", headers={**headers, "Content-Type": "text/x"}
            )
            assert wrong.status_code == 415

    run(scene)


def test_a_full_disk_and_a_busy_store_are_told_and_change_nothing(tmp_path, monkeypatch):
    async def scene():
        async with office(tmp_path) as desk:
            monkeypatch.setattr(
                desk.keeper.store, "apply", lambda *a, **k: (_ for _ in ()).throw(DiskFullError("disk"))
            )
            assert (await desk.make("acme")).status_code == 507
            monkeypatch.undo()
            monkeypatch.setattr("gaugehinge.admin.app.MOST_OPEN", 0)
            found = await desk.make("acme")
            assert found.status_code == 503 and found.headers["retry-after"] == "1"
            monkeypatch.undo()
            assert (await desk("GET", "/v1/tenants")).json() == {"tenants": [], "next": None}
            statuses = [(await desk("GET", "/v1/tenants")).status_code for _ in range(int(BURST) + 5)]
            assert statuses[-1] == 429 and statuses.count(200) >= BURST - 5

    run(scene)


def test_a_watch_hears_of_a_change_at_once(tmp_path):
    async def scene():
        async with office(tmp_path) as desk:
            since = (await desk("GET", "/v1/audit")).json()["revision"]
            heard = []

            async def watch():
                heard.append((await desk("GET", f"/v1/audit?since={since}&wait=20")).json())

            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch)
                await trio.sleep(0.05)
                await desk.make("acme")
            assert heard[0]["changes"][0]["ident"] == "acme"
            assert (await desk("GET", "/v1/audit?since=9999")).status_code == 410

    run(scene)


# -- against a plain model, and fuzzed

CALLS = st.lists(
    st.tuples(
        st.sampled_from(["make", "change", "remove", "activate", "suspend"]),
        st.sampled_from(["a", "b"]),
        st.floats(0, 10, allow_nan=False),
        st.booleans(),
    ),
    max_size=25,
)


@settings(max_examples=40, deadline=None, derandomize=True)
@given(CALLS)
def test_any_calls_in_any_order_agree_with_a_plain_model(tmp_path_factory, calls):
    async def scene():
        async with office(tmp_path_factory.mktemp("office")) as desk:
            model: dict = {}
            for what, name, figure, fresh in calls:
                desk.clock[0] += 1.0
                found = await desk("GET", f"/v1/tenants/{name}")
                etag = found.headers.get("etag", '"1"') if fresh else '"999999"'
                held = model.get(name)
                if what == "make":
                    told = await desk.make(name, share=figure)
                    assert told.status_code == (409 if held else 201)
                    if not held:
                        model[name] = ["created", figure]
                    continue
                method, path, body = {
                    "change": ("PATCH", "", {"share": figure}),
                    "remove": ("DELETE", "", None),
                }.get(what, ("POST", f"/{what}", None))
                told = await desk(method, f"/v1/tenants/{name}{path}", body, etag=etag)
                if not held:
                    assert told.status_code == 404
                elif not fresh:
                    assert told.status_code == 412
                elif what == "suspend" and held[0] == "created":
                    assert told.status_code == 409
                else:
                    assert told.status_code in (200, 204)
                    if what == "remove":
                        del model[name]
                    elif what == "change":
                        held[1] = figure
                    else:
                        held[0] = {"activate": "active", "suspend": "suspended"}[what]
            page = (await desk("GET", "/v1/tenants")).json()["tenants"]
            assert {t["name"]: [t["stage"], t["share"]] for t in page} == model
            desk.keeper.store.verify()

    run(scene)


JSONS = st.recursive(
    st.one_of(st.none(), st.booleans(), st.integers(), st.floats(allow_nan=False), st.text(max_size=8)),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.sampled_from(["name", "share", "allowance", "memory", "x"]), inner, max_size=4),
    ),
    max_leaves=8,
)
HEADERS = st.dictionaries(
    st.sampled_from(["If-Match", "Idempotency-Key", "Content-Type", "Accept"]),
    st.text(st.characters(min_codepoint=32, max_codepoint=126), max_size=12),
    max_size=3,
)


@settings(max_examples=120, deadline=None, derandomize=True)
@given(
    st.sampled_from(["GET", "POST", "PATCH", "DELETE", "PUT"]),
    st.sampled_from(
        [
            "/v1/tenants",
            "/v1/tenants/a",
            "/v1/tenants/a/activate",
            "/v1/tenants/a/credentials",
            "/v1/audit?since=x",
            "/v1/tenants?limit=-1",
            "/v1/nothing",
            "/v1/tenants/%00",
        ]
    ),
    JSONS,
    HEADERS,
)
def test_whatever_comes_there_is_no_5xx(tmp_path_factory, method, path, body, headers):
    async def scene():
        async with office(tmp_path_factory.mktemp("office")) as desk:
            await desk.make("a")
            found = await desk.client.request(
                method, path, content=json.dumps(body).encode(), headers={**desk.headers, **headers}
            )
            assert found.status_code < 500, found.text
            if found.status_code >= 400:
                assert found.headers["content-type"] == "application/problem+json"

    run(scene)


def test_the_description_names_every_route_and_every_form(tmp_path):
    async def scene():
        async with office(tmp_path) as desk:
            told = (await desk.client.get("/v1/openapi.json")).json()
            assert set(told["paths"]) == {row[1] for row in Api(desk.administration).table}
            refs = set(re.findall(r"#/components/schemas/(\w+)", json.dumps(told)))
            assert refs <= set(told["components"]["schemas"]) and {"NewTenant", "Problem"} <= refs

    run(scene)


# -- as a process


def test_the_keeper_as_a_process_serves_keeps_and_ends(tmp_path):
    port = Ports(9).free(["127.0.0.1"])
    file = tmp_path / "keep.toml"
    file.write_text(f'store = "{tmp_path / "s.db"}"\nlisten = "127.0.0.1:{port}"\n')
    words = ("-m", "gaugehinge.cli", "--log", "json", "keep", str(file))
    secret = ""
    for turn in range(2):
        with children.child(*words, stdout=subprocess.PIPE, stderr=subprocess.PIPE) as process:
            secret = secret or process.stdout.readline().split()[-1]
            assert "keeper of" in process.stderr.readline()
            headers = {"Authorization": f"Bearer {secret}"}
            transport = httpx.HTTPTransport(retries=20)
            with httpx.Client(
                transport=transport, base_url=f"http://127.0.0.1:{port}", headers=headers
            ) as client:
                if not turn:
                    assert client.post("/v1/tenants", json={"name": "acme"}).status_code == 201
                assert [t["name"] for t in client.get("/v1/tenants").json()["tenants"]] == ["acme"]
            process.send_signal(signal.SIGTERM)
            process.communicate()
            assert process.returncode == 0
    assert list(tmp_path.glob("s.db.snapshot-*"))
    file.write_text('store = "x"\nlisten = "localhost:1"\n')
    told = children.run(*words)
    assert told.returncode == 2 and "listen" in told.stderr


# -- the command line


def test_the_command_line_is_a_client_of_the_api(tmp_path):
    port = Ports(17).free(["127.0.0.1"])
    file = tmp_path / "keep.toml"
    file.write_text(f'store = "{tmp_path / "s.db"}"\nlisten = "127.0.0.1:{port}"\n')
    words = ("-m", "gaugehinge.cli", "--log", "json", "keep", str(file))
    with children.child(*words, stdout=subprocess.PIPE, stderr=subprocess.PIPE) as process:
        secret = process.stdout.readline().split()[-1]
        with httpx.Client(transport=httpx.HTTPTransport(retries=20)) as client:
            assert client.get(f"http://127.0.0.1:{port}/healthz").json() == {"revision": 2}
        environment = {"GAUGEHINGE_API": f"http://127.0.0.1:{port}", "GAUGEHINGE_SECRET": secret}

        def call(*given, code=0, **more):
            told = CliRunner().invoke(main, given, env=environment, **more)
            assert told.exit_code == code, told.output
            return told.output

        def tenant(*given, **more):
            return call("tenant", *given, **more)

        assert "acme" in tenant("add", "acme", "--share", "2", "--active") and "active" in tenant(
            "show", "acme"
        )
        assert json.loads(tenant("--json", "resize", "acme", "--allowance", "50"))[0]["allowance"] == 50.0
        assert "suspended" in tenant("suspend", "acme") and "active" in tenant("activate", "acme")
        made = tenant("credential", "acme").strip()
        assert made.startswith("gh_") and "ended" in tenant("revoke", "acme", made.split("_")[1])
        assert "name: conflict: acme is there already" in tenant("add", "acme", code=1)
        assert tenant("add", "Acme", code=2).startswith("name: invalid")
        assert "no tenant nobody" in tenant("show", "nobody", code=2)
        assert "nothing to change" in tenant("resize", "acme", code=2)
        ruled = json.loads(tenant("--json", "resize", "acme", "--traffic", "a=read", "--most-value", "9"))[0]
        assert ruled["traffic"] == {"a": "read"} and ruled["most_value"] == 9
        assert json.loads(tenant("--json", "resize", "acme", "--traffic", "="))[0]["traffic"] == {}
        assert "OWN=TYPE" in tenant("resize", "acme", "--traffic", "a", code=2)
        tenant("remove", "acme", code=1, input="n\n")
        assert "leaves" in tenant("remove", "acme", "--yes") and "acme" not in tenant("list")
        audit = tenant("audit", "--limit", "500")
        assert "tombstone" in audit and "argon2" not in audit and "root" in audit
        assert "removed" in audit and json.loads(tenant("--json", "audit"))[0]["kind"] == "operator"
        assert "drain" in call("server", "drain", "c-7") and "c-7" in call("server", "list")
        assert json.loads(call("server", "--json", "restore", "c-7"))[0]["order"] == "none"
        (tmp_path / "secret").write_text(call("tier", "secret", "tier", "--role", "router"))
        assert "name: conflict" in call("tier", "secret", "tier", "--role", "reader", code=1)
        client_port, none = Ports(17).free(["127.0.0.1"]), Ports(18).free(["127.0.0.1"])
        (tmp_path / "router.toml").write_text(
            f'[listen]\nclients = "127.0.0.1:{client_port}"\n[discovery]\naddress = "127.0.0.1:{none}"\n'
            '[[traffic]]\nname = "r"\neffect = "idempotent"\npromised_time = "1s"\n[door]\non = true\n'
            f'[follow]\nkeeper = "127.0.0.1:{port}"\nsecret_file = "{tmp_path / "secret"}"\n'
            f'snapshot = "{tmp_path / "snapshot"}"\n'
        )
        words = ("-m", "gaugehinge.cli", "--log", "json", "serve", str(tmp_path / "router.toml"))
        with children.child(*words, stdout=subprocess.PIPE, stderr=subprocess.PIPE) as router:
            deadline = time.monotonic() + 30.0
            while not (rows := json.loads(call("tier", "--json", "routers"))) or rows[0]["behind"]:
                assert time.monotonic() < deadline and router.poll() is None
                time.sleep(0.05)
            assert rows[0]["name"] == "router" and "router" in call("tier", "routers")
            router.send_signal(signal.SIGTERM)
            assert router.wait(30) == 0
        assert (tmp_path / "snapshot").exists()
        environment["GAUGEHINGE_SECRET"] = "gh_no_such"
        assert "unauthorized" in tenant("list", code=1)
        environment["GAUGEHINGE_API"] = "http://127.0.0.1:9"
        assert "127.0.0.1:9" in tenant("list", code=1)
