"""Repeated responses of discovery and of the control plane must not hide or revert changes."""

import json
import re
from contextlib import suppress
from functools import partial
from typing import NamedTuple

import httpx
import msgspec
import pytest
import trio

from gaugehinge.hosted.control_plane_client import ControlPlaneClient
from gaugehinge.hosted.errors import FeedError
from gaugehinge.hosted.tenant_registry import TenantRegistry
from gaugehinge.net.discovery import DiscoveryClient
from gaugehinge.net.timer_queue import TimerQueue
from gaugehinge.tenancy.feed import Feed, Report, TenantRow

NEWEST = 3
PAUSE = 0.02  # seconds between calls of the control plane
GAP = 0.05  # seconds for which the network delays what follows a cut
REMAINING_BYTES = [1, 6, 14]


def http(body: bytes) -> bytes:
    return b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


class ReceivedState(NamedTuple):
    rev: int
    state: str
    at: float


class Discovery:
    """Serves long polls on a list whose one server drains in even versions; tampers with one response."""

    def __init__(self, tamper, at_version: int) -> None:
        self.tamper, self.at_version = tamper, at_version
        self.version, self.tampered_at = 1, 0.0
        self.sent: list[bytes] = []

    def body(self, index: int | None) -> bytes:
        state = "draining" if self.version % 2 == 0 else "ready"
        target = {"uid": "s-1", "endpoint": "127.0.0.1:9", "az": "a", "model": "std", "pod_group": 0}
        target |= {"state": state, "capacity_hint": 1.0, "boot_ms": 0}
        targets = [] if index == self.version else [target]
        return json.dumps({"rev": self.version, "all": index is None, "targets": targets}).encode() + b"\n"

    async def serve(self, stream) -> None:
        """Answer requests until the client resets the connection."""
        with suppress(trio.BrokenResourceError):
            await self.answer_all(stream)

    async def answer_all(self, stream) -> None:
        buffer = b""
        while True:
            while b"\r\n\r\n" not in buffer:
                data = await stream.receive_some()
                if not data:
                    return
                buffer += data
            head, _, buffer = buffer.partition(b"\r\n\r\n")
            query = re.search(rb"index=(\d+)&wait=(\d+)", head)
            index, wait = (int(query[1]), int(query[2]) / 1000) if query else (None, 0.0)
            if self.tamper == "older" and index == self.at_version and not self.tampered_at:
                self.tampered_at = trio.current_time()
                await stream.send_all(self.sent[0])
            with trio.move_on_after(wait):
                while index == self.version:
                    await trio.sleep(0.01)
            response = http(self.body(index))
            self.sent.append(response)
            if self.version == self.at_version and self.tamper != "older" and not self.tampered_at:
                self.tampered_at = trio.current_time()
                for part in self.tamper(
                    response, http(self.body(None)) if len(self.sent) == 1 else self.sent[0]
                ):
                    await stream.send_all(part)
                    await trio.sleep(GAP)
            else:
                await stream.send_all(response)


def copy_within(remaining: int, together: bool, response: bytes, copy: bytes) -> list[bytes]:
    """Insert a copy before the last bytes; the network cuts where the copy has filled the response."""
    first, rest = response[:-remaining] + copy[:remaining], copy[remaining:] + response[-remaining:]
    return [first + rest] if together else [first, rest]


def cut(remaining: int, response: bytes, copy: bytes) -> list[bytes]:
    """Cut the list short; nothing follows."""
    return [response[:-remaining]]


def cut_and_copy(remaining: int, response: bytes, copy: bytes) -> list[bytes]:
    """Cut the list short; a whole copy follows."""
    return [response[:-remaining], copy]


async def follow(discovery: Discovery, local_agent: bool = False) -> list[ReceivedState]:
    """Return what a client receives until the newest version and for three seconds after it."""
    received: list[ReceivedState] = []

    def on_update(update) -> None:
        for target in update.targets:
            received.append(ReceivedState(update.rev, target.entry.state.name, trio.current_time()))

    async with trio.open_nursery() as nursery:
        timers = TimerQueue(trio.current_time)
        nursery.start_soon(timers.run)
        [listener] = await nursery.start(partial(trio.serve_tcp, discovery.serve, 0, host="127.0.0.1"))
        address = listener.socket.getsockname()
        client = DiscoveryClient(
            nursery,
            timers,
            address,
            None,
            on_update,
            lambda: client.start_watch(),
            drain_grace=1.0,
            local_agent=local_agent,
        )
        client.start_watch()
        with trio.move_on_after(20):
            while True:
                await trio.sleep(0.3)
                if received and received[-1].rev == discovery.version:
                    if discovery.version == NEWEST:
                        break
                    discovery.version += 1
            await trio.sleep(3.0)
        nursery.cancel_scope.cancel()
    return received


async def follow_all(cases, local_agent: bool = False):
    results = {}

    async def one(name, tamper, at_version):
        discovery = Discovery(tamper, at_version)
        results[name] = (await follow(discovery, local_agent), discovery)

    async with trio.open_nursery() as nursery:
        for name, tamper, at_version in cases:
            nursery.start_soon(one, name, tamper, at_version)
    return results


CASES = [
    (f"{kind} {remaining} at {version}", tamper, version)
    for remaining in REMAINING_BYTES
    for version in (1, 2, 3)
    for kind, tamper in (
        ("apart", partial(copy_within, remaining, False)),
        ("together", partial(copy_within, remaining, True)),
        ("cut", partial(cut, remaining)),
        ("cut and copy", partial(cut_and_copy, remaining)),
    )
]


def states_ok(received) -> bool:
    return all(each.state == ("UP" if each.rev % 2 else "DRAINING") for each in received)


@pytest.mark.parametrize("local_agent", [False, True], ids=["service", "agent"])
def test_a_list_with_a_copy_in_its_last_bytes_or_cut_short_hides_no_change(local_agent):
    results = trio.run(follow_all, CASES, local_agent)
    for name, (received, discovery) in results.items():
        versions = [each.rev for each in received]
        after = [each.at - discovery.tampered_at for each in received if each.rev >= discovery.at_version]
        assert discovery.tampered_at, name
        assert versions == sorted(versions) and versions[-1] == NEWEST, name
        assert states_ok(received), name
        assert min(after) < 6.0, name


@pytest.mark.parametrize("local_agent", [False, True], ids=["service", "agent"])
def test_a_late_copy_of_an_older_list_reverts_no_change(local_agent):
    """A copy of the first list answers a poll for changes since the second or third version."""
    results = trio.run(follow_all, [("at 2", "older", 2), ("at 3", "older", 3)], local_agent)
    for name, (received, discovery) in results.items():
        versions = [each.rev for each in received]
        assert discovery.tampered_at, name
        assert versions == sorted(versions) and versions[-1] == NEWEST, name


class ControlPlane:
    """Lists two tenants at revision 5; tenant b is gone in revision 6. Sends one response a second time."""

    def __init__(self, place: str) -> None:
        """`place`: where the copy of the first answer goes, relative to the second or the third answer."""
        self.place, self.revision = place, 5
        self.sent: list[bytes] = []

    def feed(self, since: int) -> bytes:
        if not since:
            rows = [row("a", 1), row("b", 2)][: 7 - self.revision]
            return msgspec.json.encode(Feed("s", self.revision, True, rows))
        gone = [2] if since < self.revision else []
        return msgspec.json.encode(Feed("s", self.revision, False, [], gone))

    async def serve(self, stream) -> None:
        """Answer requests until the client resets the connection."""
        with suppress(trio.BrokenResourceError):
            await self.answer_all(stream)

    async def answer_all(self, stream) -> None:
        buffer = b""
        while True:
            head, separator, rest = buffer.partition(b"\r\n\r\n")
            length = re.search(rb"(?i)content-length: (\d+)", head)
            if not separator or len(rest) < int(length[1]):
                data = await stream.receive_some()
                if not data:
                    return
                buffer += data
                continue
            body, buffer = rest[: int(length[1])], rest[int(length[1]) :]
            report = msgspec.json.decode(body, type=Report)
            if self.place == "next" and len(self.sent) == 2:
                await stream.send_all(self.sent[0])
            with trio.move_on_after(report.max_wait):
                while report.known_revision == self.revision:
                    await trio.sleep(0.01)
            response = http(self.feed(report.known_revision))
            self.sent.append(response)
            second = len(self.sent) == 2
            await stream.send_all(response + self.sent[0] if second and self.place == "behind" else response)
            if second and self.place == "idle":
                await trio.sleep(0.005)
                await stream.send_all(self.sent[0])


def row(name: str, incarnation: int) -> TenantRow:
    return TenantRow(name, incarnation, incarnation, "active", 1.0, 100.0)


async def follow_feeds(place: str) -> list[tuple[int, list[int]]]:
    """Return the revision and tenants that a registry holds after each of eight calls."""
    control_plane, registry, held = ControlPlane(place), TenantRegistry(), []
    async with trio.open_nursery() as nursery:
        [listener] = await nursery.start(partial(trio.serve_tcp, control_plane.serve, 0, host="127.0.0.1"))
        port = listener.socket.getsockname()[1]
        async with httpx.AsyncClient(base_url=f"http://127.0.0.1:{port}", trust_env=False) as http_client:
            client = ControlPlaneClient(http_client)
            for number in range(8):
                with suppress(FeedError):
                    report = Report("r", "run", "s", registry.revision, max_wait=0.3)
                    registry.follow(await client.fetch_feed(report, 0.5))
                held.append((registry.revision, sorted(registry.by_incarnation)))
                if number == 0:
                    control_plane.revision = 6
                await trio.sleep(PAUSE)
        nursery.cancel_scope.cancel()
    return held


@pytest.mark.parametrize("place", ["none", "behind", "idle", "next"])
def test_a_copy_of_the_whole_feed_restores_no_removed_tenant(place):
    """The second answer removes the tenant; after it the first answer arrives again."""
    held = trio.run(follow_feeds, place)
    assert held[1:] == [(6, [1])] * 7
