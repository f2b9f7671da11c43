"""The administration API without sockets, for tests: a store, a control plane and callers of its API."""

from contextlib import asynccontextmanager

import httpx
import trio

from gaugehinge.admin.app import Api
from gaugehinge.admin.control_plane import ControlPlane
from gaugehinge.store.async_store import AsyncStore
from gaugehinge.tenancy.attempt_limiter import AttemptLimiter
from gaugehinge.tenancy.credentials import SecretHasher

CHEAP_HASHER = SecretHasher(time_cost=1, memory_kib=64)
TEST_TIMEOUT = 60.0  # seconds


class ApiCaller:
    """Calls the API with a secret."""

    def __init__(self, client, secret) -> None:
        self.client = client
        self.headers = {"Authorization": f"Bearer {secret}"}

    async def __call__(self, method, path, body=None, etag=None, **headers):
        """A call; `etag` is a revision or an entity tag for If-Match, `_` in header names stands for `-`."""
        sent = {**self.headers, **{name.replace("_", "-"): value for name, value in headers.items()}}
        if etag is not None:
            sent["If-Match"] = etag if isinstance(etag, str) else f'"{etag}"'
        return await self.client.request(method, path, json=body, headers=sent)

    async def create_tenant(self, name, **fields):
        """POST /v1/tenants."""
        return await self("POST", "/v1/tenants", {"name": name, **fields})


@asynccontextmanager
async def serve_api(path):
    """The first operator as a caller, with the control plane, its store and a clock that the test sets."""
    clock = [1_000_000.0]
    store_writer = AsyncStore(path / "s.db", lambda: clock[0])
    control_plane = ControlPlane(store_writer, CHEAP_HASHER, AttemptLimiter(1, clock[0]))
    secret = await control_plane.operators.create_first()
    transport = httpx.ASGITransport(Api(control_plane).app())
    async with httpx.AsyncClient(transport=transport, base_url="http://admin") as client:
        root = ApiCaller(client, secret)
        root.clock, root.control_plane, root.store_writer = clock, control_plane, store_writer
        yield root
    store_writer.close()


def run_in_trio(scenario) -> None:
    """Run an async function to its end, within a bound of time."""

    async def main():
        with trio.fail_after(TEST_TIMEOUT):
            await scenario()

    trio.run(main)
