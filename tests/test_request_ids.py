"""Control plane responses echo the request id, so that a duplicate is not taken for the next response."""

import re
from contextlib import suppress
from functools import partial

import httpx
import msgspec
import pytest
import trio
from admin_api import run_in_trio, serve_api

from gaugehinge.admin.client import Client
from gaugehinge.hosted.control_plane_client import ControlPlaneClient
from gaugehinge.hosted.errors import FeedError
from gaugehinge.hosted.tenant_registry import TenantRegistry
from gaugehinge.tenancy.feed import Feed, Report
from gaugehinge.tenancy.request_id import REQUEST_ID_HEADER

LEASE = 30.0  # seconds


class DuplicatingServer:
    """Responds to each call with the call count and sends the second response twice in the same segment."""

    def __init__(self, echoes_ids: bool) -> None:
        self.echoes_ids, self.calls, self.connections = echoes_ids, 0, 0

    async def serve(self, stream) -> None:
        """Serve calls until the client closes the connection."""
        self.connections += 1
        buffer = b""
        with suppress(trio.BrokenResourceError):
            while data := await stream.receive_some():
                buffer += data
                head, separator, body = buffer.partition(b"\r\n\r\n")
                length = re.search(rb"(?i)content-length: (\d+)", head)
                if not separator or len(body) < int(length[1] if length else 0):
                    continue
                buffer = b""
                self.calls += 1
                number = re.search(rb"(?im)^x-request-id: [^\r\n]*", head)
                response = self.response(number[0] + b"\r\n" if number and self.echoes_ids else b"")
                await stream.send_all(response * (2 if self.calls == 2 else 1))

    def response(self, id_header_line: bytes) -> bytes:
        """Return a response that is both a feed and a tenant: each client reads its own fields."""
        feed = msgspec.to_builtins(Feed("s", 5, False, [], lease_duration=LEASE + self.calls))
        body = msgspec.json.encode({**feed, "call": self.calls})
        return b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n%b\r\n%b" % (len(body), id_header_line, body)


async def collect_results(server: DuplicatingServer, call, times: int) -> list:
    """Run `call` against a running server; return its result of each call, None for a failed one."""
    async with trio.open_nursery() as nursery:
        [listener] = await nursery.start(partial(trio.serve_tcp, server.serve, 0, host="127.0.0.1"))
        address = f"http://127.0.0.1:{listener.socket.getsockname()[1]}"
        found = await call(address, times)
        nursery.cancel_scope.cancel()
    return found


async def fetch_leases(address: str, times: int) -> list:
    found = []
    async with httpx.AsyncClient(base_url=address, trust_env=False) as http:
        client = ControlPlaneClient(http)
        for _ in range(times):
            try:
                feed = await client.fetch_feed(Report("r", "run", "s", 5), 1.0)
                found.append(feed.lease_duration - LEASE)
            except FeedError:
                found.append(None)
    return found


def test_duplicated_feed_without_changes_renews_no_lease():
    """It fits the state of the router: only the request id shows that it answers an earlier report."""
    server = DuplicatingServer(echoes_ids=True)
    assert trio.run(collect_results, server, fetch_leases, 5) == [1, 2, None, 4, 5]
    assert server.connections == 3  # the first, the one closed because of the duplicate, and the one after it


def test_each_call_has_its_own_connection_if_the_server_echoes_no_ids():
    server = DuplicatingServer(echoes_ids=False)
    assert trio.run(collect_results, server, fetch_leases, 5) == [1, 2, 3, 4, 5]
    assert server.connections == 5


@pytest.mark.parametrize("echoes_ids", [True, False])
def test_api_client_does_not_take_a_duplicate_for_the_next_response(echoes_ids):
    """With ids the duplicate costs a retry of the third read; without, each call has its own connection."""

    async def read_tenants(address, times):
        client = Client(address, "secret")
        found = []
        for _ in range(times):
            found.append((await trio.to_thread.run_sync(client.tenant, "t")).body["call"])
        client.close()
        return found

    server = DuplicatingServer(echoes_ids)
    expected = [1, 2, 4, 5] if echoes_ids else [1, 2, 3, 4]
    assert trio.run(collect_results, server, read_tenants, 4) == expected
    assert server.connections == (3 if echoes_ids else 4)


def test_each_api_response_echoes_a_valid_request_id(tmp_path):
    async def scenario():
        async with serve_api(tmp_path) as root:
            for path in ("/v1/tenants", "/v1/tenants/nobody", "/no/such"):
                for number, expected in (("a-1", "a-1"), ("a b", None), ("x" * 65, None)):
                    response = await root("GET", path, **{REQUEST_ID_HEADER: number})
                    assert response.headers.get(REQUEST_ID_HEADER) == expected
            assert REQUEST_ID_HEADER not in (await root("GET", "/v1/tenants")).headers

    run_in_trio(scenario)


@pytest.mark.parametrize("from_snapshot", [False, True])
def test_older_state_is_followed_only_from_another_run_of_the_control_plane(from_snapshot):
    """A store is restored between two runs; a router that started from its snapshot knows of no run."""
    followed = Feed("s", 6, True, [], control_plane_run="one")
    older = msgspec.structs.replace(followed, revision=5)
    registry = TenantRegistry()
    if from_snapshot:
        registry.restore(followed)
    else:
        registry.follow(followed)
        with pytest.raises(FeedError):
            registry.follow(older)
        assert registry.revision == 6
        older = msgspec.structs.replace(older, control_plane_run="two")
    registry.follow(older)
    assert registry.revision == 5
