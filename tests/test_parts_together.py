"""Interactions of recovery, placement and drains in one router that follows a control plane."""

from functools import partial

import httpx
import msgspec
import trio

from gaugehinge.hosted.build import read_secret
from gaugehinge.hosted.control_plane_client import ControlPlaneClient
from gaugehinge.hosted.control_plane_watch import ControlPlaneWatch
from gaugehinge.hosted.endpoint_overrides import EndpointOverrides
from gaugehinge.hosted.tenant_registry import TenantRegistry
from gaugehinge.installation.form import RecoveryEntry
from gaugehinge.net.endpoint_list import read_endpoint_list
from gaugehinge.net.lifecycle import Phase
from gaugehinge.placement.build import build_placement
from gaugehinge.placement.messages import ControlPlaneUpdate, RouterReport
from gaugehinge.recovery.driver import Recovery
from gaugehinge.recovery.recovery_ramp import Stage
from gaugehinge.recovery.restart_scope import Verdict
from gaugehinge.routing.types import Operation
from gaugehinge.subsystems import Subsystems
from gaugehinge.tenancy.feed import Feed, Report
from tests.helper import SETTINGS, Cache, fleet

KEY = b"k" * 16
LEASE = 3.0


class SubsystemsUnderTest:
    """A router with placement and recovery, combined as in `gaugehinge serve`, and a fake control plane."""

    def __init__(self, tmp_path, silent) -> None:
        timeouts = {"keeper_wait": 1.0, "decide": 0.3, "list_wait": 0.4}
        self.entry = RecoveryEntry(True, "key", str(tmp_path / "snap"), **timeouts)
        self.max_waits: list[float] = []  # of each call, as requested by the router
        self.third_call = trio.Event()
        self.silent = silent  # the control plane never replies
        self.server_lists: list[list] = []  # server lists that the router reported
        self.secret = ""  # that the control plane expects; empty: none

    def build(self, service, nursery):
        http = httpx.AsyncClient(
            base_url="http://keeper", transport=httpx.MockTransport(self.handle_control_plane_call)
        )
        client = ControlPlaneClient(http)
        self.follower = ControlPlaneWatch(service, TenantRegistry(), EndpointOverrides(), client, None, 8)
        self.follower.load_snapshot()
        self.placement = build_placement(service, self.follower)
        nursery.start_soon(self.follower.run)
        self.recovery = Recovery(service, self.entry, KEY, self.follower)
        self.recovery.start(nursery)
        return Subsystems(watch=self.follower, placement=self.placement, recovery=self.recovery).extensions()

    async def handle_control_plane_call(self, request):
        if self.silent:
            await trio.sleep_forever()
        if self.secret and request.headers.get("Authorization") != f"Bearer {self.secret}":
            return httpx.Response(401)
        report = msgspec.json.decode(request.content, type=Report)
        self.max_waits.append(report.max_wait)
        placement_report = msgspec.json.decode(report.parts["placement"], type=RouterReport)
        self.server_lists += (
            [placement_report.server_chunk.servers] if placement_report.server_chunk is not None else []
        )
        if len(self.max_waits) == 3:
            self.third_call.set()
        await trio.sleep(min(report.max_wait, 0.05))
        update = ControlPlaneUpdate(1, "mark", report.known_revision == 0, [], [], LEASE, 2 * LEASE, [], "")
        feed = Feed("store", 1, True, [], parts={"placement": msgspec.Raw(msgspec.json.encode(update))})
        return httpx.Response(200, content=msgspec.json.encode(feed))


def run_scenario(tmp_path, scenario, silent=False):
    async def main():
        setup = SubsystemsUnderTest(tmp_path, silent)
        settings = {**SETTINGS, "replicasOfMe": 1}
        async with fleet(
            tmp_path, [Cache()], settings=settings, build_extensions=setup.build
        ) as running_fleet:
            with trio.fail_after(20):
                await scenario(setup, running_fleet)

    trio.run(partial(main))


def test_long_polls_stay_well_below_the_lease_duration_from_the_first_reply(tmp_path):
    async def scenario(setup, running_fleet):
        await setup.third_call.wait()
        assert setup.max_waits[0] == 0.0  # the first call does not wait
        assert 0.0 < max(setup.max_waits[1:]) < 0.5 * LEASE

    run_scenario(tmp_path, scenario)


def test_reported_server_start_times_come_from_the_endpoint_list_and_not_from_the_router(tmp_path):
    async def scenario(setup, running_fleet):
        targets = [{**each, "boot_ms": 5000} for each in running_fleet.targets]
        running_fleet.service.dispatcher.on_endpoints_changed(
            read_endpoint_list({"rev": 2, "all": True, "targets": targets})
        )
        while (
            setup.recovery.view.verdict is Verdict.DECIDING
            or not running_fleet.service.dispatcher.router.endpoints
        ):
            await trio.sleep(0.01)
        assert {server.started_at for server in setup.placement.servers.current.values()} == {5.0}
        reported = [
            target.entry.started for target in setup.follower.overrides.discovered if target.entry.started
        ]
        assert set(reported) == {5.0}
        assumed = {cache.started for cache in running_fleet.service.dispatcher.router.endpoints.values()}
        assert (
            min(assumed) >= setup.recovery.started_at
        )  # it is unknown whether they kept running, so they count as cold

    run_scenario(tmp_path, scenario)


def test_startup_waits_for_leases_up_to_a_limit_and_rejections_without_a_lease_are_not_failures(tmp_path):
    async def scenario(setup, running_fleet):
        recovery, lifecycle = setup.recovery, running_fleet.service.lifecycle
        recovery.progress.control_plane = True  # it replied once, without a lease
        running_fleet.service.dispatcher.on_endpoints_changed(
            read_endpoint_list({"rev": 2, "all": True, "targets": running_fleet.targets})
        )
        while lifecycle.phase is Phase.RECOVERING:
            assert recovery.uptime() < 15.0
            await trio.sleep(0.01)
        assert recovery.uptime() >= 1.0 and Stage.SUBSYSTEMS.value in recovery.sequence.timed_out
        failed = recovery.ramp.writes.failed
        client = await running_fleet.client()
        while setup.placement.rejected < 3:
            assert (await client.put()).startswith(b"-BUSY")
        assert recovery.ramp.writes.failed == failed == 0
        setup.placement.lease.renew(trio.current_time(), 60.0)
        assert recovery._feed_parts_ready()

    run_scenario(tmp_path, scenario, silent=True)


def test_a_rejected_read_pinned_to_a_region_is_not_a_fleet_failure_but_a_rejected_write_is(tmp_path):
    async def scenario(setup, running_fleet):
        await setup.third_call.wait()
        setup.placement.lease.renew(trio.current_time(), 60.0)
        counts_as_failure, traffic_type = (
            setup.recovery._indicates_overload,
            running_fleet.service.configuration.settings.deployment.traffic_types[0],
        )

        def operation(write, *regions):
            return Operation(1, traffic_type, b"k", -1, write, False, 0.0, 1.0, regions=regions)

        pinned = (frozenset({"a"}),)
        assert not counts_as_failure(operation(False, *pinned), b"-BUSY 200\r\n")
        assert counts_as_failure(operation(False, *pinned), b"-ERR failed\r\n")
        assert counts_as_failure(operation(True, *pinned), b"-BUSY 200\r\n")
        assert counts_as_failure(operation(False, *pinned, None), b"-BUSY 200\r\n") and counts_as_failure(
            operation(False, None), b"-BUSY\r\n"
        )

    run_scenario(tmp_path, scenario)


def test_a_router_without_an_endpoint_list_does_not_report_an_empty_server_list(tmp_path):
    async def scenario(setup, running_fleet):
        await setup.third_call.wait()  # the router holds its endpoint list back until recovery has decided
        assert setup.server_lists == []
        running_fleet.service.dispatcher.on_endpoints_changed(
            read_endpoint_list({"rev": 2, "all": True, "targets": running_fleet.targets})
        )
        while not setup.server_lists:
            await trio.sleep(0.01)
        assert len(setup.server_lists[0]) == 1

    run_scenario(tmp_path, scenario)


# For example, a control plane with a new disk does not know the former secret.
def test_a_router_rereads_its_secret_after_the_control_plane_rejects_it(tmp_path):
    async def scenario(setup, running_fleet):
        await setup.third_call.wait()
        file = tmp_path / "secret"
        file.write_text("former\n")
        setup.follower.client.read_secret = partial(read_secret, str(file))
        setup.secret, setup.third_call = "newer", trio.Event()
        calls = len(setup.max_waits)
        while not setup.follower.unreachable_since:
            await trio.sleep(0.01)
        file.unlink()  # the file is missing for a moment while it is replaced
        await trio.sleep(0.3)
        file.write_text("newer\n")
        while len(setup.max_waits) == calls:
            await trio.sleep(0.01)
        while setup.follower.unreachable_since:
            await trio.sleep(0.01)

    run_scenario(tmp_path, scenario)
