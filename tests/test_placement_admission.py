"""What is admitted: capacity of regions, budgets of tenants, and the list of servers behind it."""

from dataclasses import replace

import pytest

from gaugehinge.placement.admission import AdmissionError, RegionCapacity
from gaugehinge.placement.messages import ReportedServer
from gaugehinge.placement.quotas import ChangeBudget
from gaugehinge.placement.server_inventory import ServerInventory, split_server_list

GROUND = RegionCapacity(
    {"eu": ("a", "b"), "us": ("c",), "ap": ("d",)},
    [
        ReportedServer("1", "a", 2.0, 0.0, True),
        ReportedServer("2", "a", 1.0, 0.0, True),
        ReportedServer("3", "b", 1.0, 0.0, True),
        ReportedServer("4", "c", 1.0, 0.0, True),
        ReportedServer("5", "c", 3.0, 0.0, True),
        ReportedServer("6", "d", 1.0, 0.0, False),
    ],
    100.0,
    {"eu": 60.0},
)


def test_a_region_bears_what_is_left_with_its_heaviest_zone_or_server_lost():
    assert GROUND.capacity("eu") == 100.0 and GROUND.capacity("us") == 100.0 and GROUND.capacity("ap") == 0.0
    GROUND.check(("eu", "us"), 40.0)
    for asked, allowance, status, field, word in [
        (("mars",), 1.0, 422, "regions[0]", "ap, eu, us"),
        (("eu", "ap"), 1.0, 409, "regions[1]", "eu, us"),
        (("us", "us"), 1.0, 422, "regions[1]", "twice"),
        (("eu",), 40.1, 409, "regions[0]", "up to 40.0, or first in us"),
        (("us",), 500.0, 409, "regions[0]", "up to 100.0, or first in no other region"),
    ]:
        with pytest.raises(AdmissionError) as bad:
            GROUND.check(asked, allowance)
        assert (bad.value.status, bad.value.field) == (status, field) and word in bad.value.detail


def test_a_pin_that_outgrew_its_region_may_shrink_there_and_a_keeper_that_heard_nothing_says_so():
    shrunk = replace(GROUND, reserved={"eu": 300.0})
    shrunk.check(("eu",), 250.0, already_reserved=250.0)  # as it stands, and in other terms
    shrunk.check(("eu",), 80.0, already_reserved=250.0)
    with pytest.raises(AdmissionError) as bad:
        shrunk.check(("eu",), 250.1, already_reserved=250.0)
    assert bad.value.status == 409 and "up to 250.0" in bad.value.detail
    with pytest.raises(AdmissionError):
        shrunk.check(("eu",), 1.0)
    with pytest.raises(AdmissionError) as bad:
        replace(GROUND, servers=[], servers_known=False).check(("eu",), 1.0)
    assert bad.value.status == 503 and "again" in bad.value.detail


def test_changes_of_a_tenant_fill_again_over_an_hour():
    budget = ChangeBudget(2.0, 0.0)
    budget = budget.take(2, 0.0).take(2, 0.0)
    with pytest.raises(AdmissionError) as bad:
        budget.take(2, 10.0)
    assert "1790 s" in bad.value.detail
    assert budget.take(2, 1800.0).remaining == pytest.approx(0.0)
    assert budget.take(2, -50.0 + 3600.0).remaining == pytest.approx(0.972, abs=0.01)


def test_a_list_of_servers_comes_in_slices_and_a_move_without_a_start_is_seen():
    told = [ReportedServer(f"s{i:03}", "a", 1.0, 5.0, True) for i in range(450)]
    servers = ServerInventory()
    parts = split_server_list(told)
    assert len(parts) == 3
    assert not any(servers.add_chunk("r", part) for part in (parts[2], parts[0])) and not servers.current
    servers.add_chunk("r", parts[1])
    assert len(servers.current) == 450
    told[3] = ReportedServer("s003", "b", 1.0, 5.0, True)
    told[4] = ReportedServer("s004", "b", 1.0, 6.0, True)
    found = [servers.add_chunk("q", part) for part in split_server_list(told[:-1])]
    assert found[-1] == {"a", "b"} and set(servers.relabelled) == {"s003"}
    assert set(servers.departed) == {"s449"} and ("s449", "a", 5.0) in servers.snapshot()
    servers.add_chunk("r", split_server_list([ReportedServer("s003", "b", 1.0, 7.0, True)])[0])
    assert not servers.relabelled
    # A list of before: what it says of the zone is of a former start, whose address it may not be any more.
    assert servers.add_chunk("r", split_server_list([ReportedServer("s003", "a", 1.0, 5.0, True)])[0]) == {
        "a",
        "b",
    }
    assert servers.relabelled == {"s003": 5.0}
    for zone in "ba":  # routers that do not agree on it
        assert not servers.add_chunk(
            "r", split_server_list([ReportedServer("s003", zone, 1.0, 5.0, True)])[0]
        )
