"""A process that comes up at the address of one that has gone is not taken for the former one."""

import json
import struct
import time

import pytest
import trio

from gaugehinge.net.endpoint_list import read_endpoint_list
from gaugehinge.routing.types import EndpointState, Tenant
from tests.helper import Bench, Cache, Client, fleet, run

TOLD_TIME = 6.0  # seconds after which a change counts as told, once discovery had it and could be reached


def now_ms() -> int:
    return int(time.time() * 1000)


def listed(made) -> dict[str, EndpointState]:
    """The states of all servers that attempts may go to, by uid."""
    router, pool = made.service.dispatcher.router, made.service.pool
    origin = router.table.origin
    known = {**router.endpoints, **({origin.ident: origin} if origin else {})}
    return {pool.endpoints[ident].uid: each.state for ident, each in known.items() if ident in pool.endpoints}


def change(made, *targets: dict, whole: bool = False, rev: int = 2) -> None:
    """Let the router hear a change of the list."""
    update = read_endpoint_list({"rev": rev, "all": whole, "targets": list(targets)})
    made.service.dispatcher.on_endpoints_changed(update)


@pytest.mark.parametrize("whole", [False, True])
def test_a_new_server_at_the_address_of_one_still_listed_takes_its_place(tmp_path, whole):
    """Guards against issue 65 (d): the share of the one that had gone went on to the new, cold process."""

    async def scenario():
        async with fleet(tmp_path, [Cache() for _ in range(3)]) as made:
            fresh = {**made.targets[0], "uid": "s-9", "boot_ms": now_ms()}
            change(made, *([*made.targets, fresh] if whole else [fresh]), whole=whole)
            assert "s-0" not in listed(made) and listed(made)["s-9"] is EndpointState.UP
            client = await made.client()
            answers = [await client.get(f"k{n}") for n in range(60)]
            assert all(answer.startswith(b"$") for answer in answers)
            assert len(made.caches[0].commands) < 10  # it starts cold: no share of the former one's keys

    run(scenario)


def test_a_request_that_waits_for_a_connection_is_not_sent_to_a_new_process_there(tmp_path):
    """Guards against issue 65 (d): the new process accepts the connection that was meant for the former."""

    async def scenario():
        async with fleet(tmp_path, [Cache()]) as made:
            client = await made.client()
            await client.send("KV.GET", "k", "id-1", "c=read,t=acme,d=300")
            while not made.service.pool.pending:
                await trio.lowlevel.checkpoint()
            assert not made.caches[0].commands
            change(made, {**made.targets[0], "uid": "s-9", "state": "draining", "boot_ms": now_ms()})
            answer = await client.answer()
            assert not answer.startswith(b"$of k") and not made.caches[0].commands

    run(scenario)


def test_a_server_at_the_address_of_the_former_origin_gets_no_fetches(tmp_path):
    """Guards against issue 65 (d): misses and writes went on to what had come up at the origin's address."""

    async def scenario():
        async with fleet(tmp_path, [Cache(), Cache("miss")]) as made:
            origin = made.targets[-1]
            change(made, {**origin, "uid": "s-9", "model": "std", "boot_ms": now_ms()})
            assert "s-2" not in listed(made)
            answer = await (await made.client()).put()
            assert answer.startswith((b"-BUSY", b"-ERR")) and not made.origin.seen

    run(scenario)


def test_a_server_listed_at_a_new_address_keeps_its_place_though_its_former_one_is_taken(tmp_path):
    """Guards against a remedy that drops a server because of where it was before."""

    async def scenario():
        async with fleet(tmp_path, [Cache(), Cache()]) as made:
            here, there = made.targets[0]["endpoint"], made.targets[1]["endpoint"]
            swapped = [
                {**made.targets[0], "endpoint": there, "boot_ms": now_ms()},
                {**made.targets[1], "endpoint": here, "boot_ms": now_ms()},
            ]
            change(made, *swapped)
            assert listed(made) == {uid: EndpointState.UP for uid in ("s-0", "s-1", "s-2")}

    run(scenario)


def test_a_new_discovery_process_with_other_numbers_is_asked_for_its_whole_list(tmp_path):
    """Guards against issue 65 (d): a new discovery process was asked for changes since a former one's."""
    new_process = False

    def discovery(method, target, headers, body):
        if not new_process:
            return 200, "", json.dumps({"rev": 41, "all": False, "targets": []}).encode()
        if restarts:
            return restarts.pop()
        targets = [] if "index=" in target else drained
        return 200, "", json.dumps({"rev": 60, "all": "index=" not in target, "targets": targets}).encode()

    restarts, drained = ["reset"], []

    async def scenario():
        nonlocal new_process
        async with fleet(tmp_path, [Cache(), Cache()], discovery=discovery) as made:
            drained.extend([{**made.targets[0], "state": "draining"}, *made.targets[1:]])
            await trio.sleep(0.5)
            new_process = True
            with trio.fail_after(TOLD_TIME):
                while listed(made).get("s-0") is not EndpointState.DRAINING:
                    await trio.sleep(0.05)
            client: Client = await made.client()
            for number in range(20):
                await client.get(f"k{number}")
            assert not made.caches[0].commands

    run(scenario)


def test_rates_of_a_new_peer_process_replace_those_of_the_former(tmp_path):
    """Guards against issue 65 (d) among routers: rates of a process that has gone are not added up."""
    bench = Bench(caches=2, may_gossip=True, tenants=(Tenant(0.5, 100.0), Tenant(0.5, 100.0)))
    bench.router.on_gossip(1, struct.pack("<2f", 80.0, 10.0), bench.now)
    bench.router.on_gossip(1, struct.pack("<2f", 1.0, 2.0), bench.now)
    assert bench.router.gossip.peers[1].rates == (1.0, 2.0)
