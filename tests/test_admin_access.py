"""The administration API: roles, secrets, limits, bad input, and its description."""

import json
import re

import pytest
from admin_api import ApiCaller, run_in_trio, serve_api

from gaugehinge.admin.app import Api
from gaugehinge.admin.http import MAX_BODY_SIZE
from gaugehinge.admin.rate_limit import BURST
from gaugehinge.store.errors import DiskFullError
from gaugehinge.tenancy.attempt_limiter import FAILURE_BURST as WRONG_SECRET_BURST


def test_roles_limit_access(tmp_path):
    async def scenario():
        async with serve_api(tmp_path) as root:
            for name in ("acme", "birch"):
                await root.create_tenant(name)
            operators = root.control_plane.operators
            reader = ApiCaller(root.client, (await operators.create("eye", "reader", "", "root")).secret)
            mine = ApiCaller(root.client, (await operators.create("ann", "tenant", "acme", "root")).secret)
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
            assert (
                (await reader.create_tenant("cedar")).status_code
                == 403
                == (await mine.create_tenant("cedar")).status_code
            )
            assert (await reader("DELETE", "/v1/tenants/acme", etag=1)).status_code == 403
            made = await mine("POST", "/v1/tenants/acme/credentials", {"overlap": 0})
            assert made.status_code == 201
            assert (await mine("POST", "/v1/tenants/birch/credentials", {})).status_code == 403
            path = f"/v1/tenants/acme/credentials/{made.json()['ident']}"
            assert [(await mine("DELETE", path)).status_code for _ in range(2)] == [204, 404]
            audit = json.dumps((await root("GET", "/v1/audit?limit=500")).json())
            assert "argon2" not in audit
            assert "hashed" not in audit
            assert '"who": "ann"' in audit

    run_in_trio(scenario)


def test_wrong_secrets_get_equal_answers_and_are_rate_limited(tmp_path):
    async def scenario():
        async with serve_api(tmp_path) as root:
            told = set()
            good = root.headers["Authorization"]
            for header in (
                "",
                "Bearer",
                "Bearer x",
                "Basic abc",
                good + "x",
                good.replace("gh_", "gh_0"),
                "Bearer gh_a_b",
            ):
                found = await root.client.get("/v1/tenants", headers={"Authorization": header})
                told.add((found.status_code, found.text))
            assert len(told) == 1
            assert next(iter(told))[0] == 401
            statuses = [
                (
                    await root.client.get("/v1/tenants", headers={"Authorization": f"Bearer gh_x{i}_y"})
                ).status_code
                for i in range(int(WRONG_SECRET_BURST) + 5)
            ]
            assert statuses[-1] == 429
            assert (await root("GET", "/v1/tenants")).status_code in (200, 429)

    run_in_trio(scenario)


@pytest.mark.parametrize(
    ("body", "status", "field"),
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
        (b'{"name": "' + b"a" * MAX_BODY_SIZE + b'"}', 413, ""),
    ],
)
def test_bad_body_is_a_problem_that_names_the_field(tmp_path, body, status, field):
    async def scenario():
        async with serve_api(tmp_path) as root:
            headers = {**root.headers, "Content-Type": "application/json"}
            found = await root.client.post("/v1/tenants", content=body, headers=headers)
            assert found.status_code == status, found.text
            assert found.headers["content-type"] == "application/problem+json"
            assert found.json().get("field", "") == field
            assert found.json()["status"] == status
            wrong = await root.client.post(
                "/v1/tenants", content=b"a=1", headers={**headers, "Content-Type": "text/x"}
            )
            assert wrong.status_code == 415

    run_in_trio(scenario)


def test_full_disk_overload_and_rate_limit_change_nothing(tmp_path, monkeypatch):
    async def scenario():
        async with serve_api(tmp_path) as root:
            monkeypatch.setattr(
                root.store_writer.store, "apply", lambda *a, **k: (_ for _ in ()).throw(DiskFullError("disk"))
            )
            assert (await root.create_tenant("acme")).status_code == 507
            monkeypatch.undo()
            monkeypatch.setattr("gaugehinge.admin.app.MAX_OPEN_CALLS", 0)
            found = await root.create_tenant("acme")
            assert found.status_code == 503
            assert found.headers["retry-after"] == "1"
            monkeypatch.undo()
            assert (await root("GET", "/v1/tenants")).json() == {"tenants": [], "next": None}
            statuses = [(await root("GET", "/v1/tenants")).status_code for _ in range(int(BURST) + 5)]
            assert statuses[-1] == 429
            assert statuses.count(200) >= BURST - 5

    run_in_trio(scenario)


def test_openapi_names_every_route_and_schema(tmp_path):
    async def scenario():
        async with serve_api(tmp_path) as root:
            told = (await root.client.get("/v1/openapi.json")).json()
            assert set(told["paths"]) == {route.path for route in Api(root.control_plane).routes}
            refs = set(re.findall(r"#/components/schemas/(\w+)", json.dumps(told)))
            assert refs <= set(told["components"]["schemas"])
            assert {"NewTenant", "Problem"} <= refs

    run_in_trio(scenario)
