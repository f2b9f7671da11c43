"""Property tests of the administration API: against a model of tenants, and with arbitrary requests."""

import json

from admin_api import run_in_trio, serve_api
from hypothesis import given, settings
from hypothesis import strategies as st

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
def test_any_sequence_of_calls_agrees_with_a_model(tmp_path_factory, calls):
    async def scenario():
        async with serve_api(tmp_path_factory.mktemp("office")) as root:
            model: dict = {}
            for what, name, figure, fresh in calls:
                root.clock[0] += 1.0
                found = await root("GET", f"/v1/tenants/{name}")
                etag = found.headers.get("etag", '"1"') if fresh else '"999999"'
                held = model.get(name)
                if what == "make":
                    told = await root.create_tenant(name, share=figure)
                    assert told.status_code == (409 if held else 201)
                    if not held:
                        model[name] = ["created", figure]
                    continue
                method, path, body = {
                    "change": ("PATCH", "", {"share": figure}),
                    "remove": ("DELETE", "", None),
                }.get(what, ("POST", f"/{what}", None))
                told = await root(method, f"/v1/tenants/{name}{path}", body, etag=etag)
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
            page = (await root("GET", "/v1/tenants")).json()["tenants"]
            assert {t["name"]: [t["stage"], t["share"]] for t in page} == model
            root.store_writer.store.verify()

    run_in_trio(scenario)


JSON_VALUES = st.recursive(
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
    JSON_VALUES,
    HEADERS,
)
def test_arbitrary_requests_never_get_a_5xx(tmp_path_factory, method, path, body, headers):
    async def scenario():
        async with serve_api(tmp_path_factory.mktemp("office")) as root:
            await root.create_tenant("a")
            found = await root.client.request(
                method, path, content=json.dumps(body).encode(), headers={**root.headers, **headers}
            )
            assert found.status_code < 500, found.text
            if found.status_code >= 400:
                assert found.headers["content-type"] == "application/problem+json"

    run_in_trio(scenario)
