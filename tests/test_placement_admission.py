"""Admission: capacity of regions, change budgets of tenants, and the server list behind the capacity."""

from dataclasses import replace

import pytest

from gaugehinge.placement.admission import AdmissionError, RegionCapacity
from gaugehinge.placement.messages import ReportedServer
from gaugehinge.placement.quotas import ChangeBudget
from gaugehinge.placement.server_inventory import ServerInventory, split_server_list

CAPACITY = RegionCapacity(
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


def test_region_capacity_excludes_its_heaviest_zone_or_server():
    assert (
        CAPACITY.capacity("eu") == 100.0
        and CAPACITY.capacity("us") == 100.0
        and CAPACITY.capacity("ap") == 0.0
    )
    CAPACITY.check(("eu", "us"), 40.0)
    for regions, rate, status, field, word in [
        (("mars",), 1.0, 422, "regions[0]", "ap, eu, us"),
        (("eu", "ap"), 1.0, 409, "regions[1]", "eu, us"),
        (("us", "us"), 1.0, 422, "regions[1]", "twice"),
        (("eu",), 40.1, 409, "regions[0]", "up to 40.0, or first in us"),
        (("us",), 500.0, 409, "regions[0]", "up to 100.0, or first in no other region"),
    ]:
        with pytest.raises(AdmissionError) as error:
            CAPACITY.check(regions, rate)
        assert (error.value.status, error.value.field) == (status, field) and word in error.value.detail


def test_pin_beyond_capacity_may_shrink_and_unknown_servers_are_reported():
    overcommitted = replace(CAPACITY, reserved={"eu": 300.0})
    overcommitted.check(("eu",), 250.0, already_reserved=250.0)  # unchanged, or with other settings
    overcommitted.check(("eu",), 80.0, already_reserved=250.0)
    with pytest.raises(AdmissionError) as error:
        overcommitted.check(("eu",), 250.1, already_reserved=250.0)
    assert error.value.status == 409 and "up to 250.0" in error.value.detail
    with pytest.raises(AdmissionError):
        overcommitted.check(("eu",), 1.0)
    with pytest.raises(AdmissionError) as error:
        replace(CAPACITY, servers=[], servers_known=False).check(("eu",), 1.0)
    assert error.value.status == 503 and "again" in error.value.detail


def test_change_budget_refills_over_an_hour():
    budget = ChangeBudget(2.0, 0.0)
    budget = budget.take(2, 0.0).take(2, 0.0)
    with pytest.raises(AdmissionError) as error:
        budget.take(2, 10.0)
    assert "1790 s" in error.value.detail
    assert budget.take(2, 1800.0).remaining == pytest.approx(0.0)
    assert budget.take(2, -50.0 + 3600.0).remaining == pytest.approx(0.972, abs=0.01)


def test_server_list_is_assembled_from_chunks_and_relabelled_servers_are_detected():
    reported = [ReportedServer(f"s{i:03}", "a", 1.0, 5.0, True) for i in range(450)]
    inventory = ServerInventory()
    chunks = split_server_list(reported)
    assert len(chunks) == 3
    assert (
        not any(inventory.add_chunk("r", chunk) for chunk in (chunks[2], chunks[0])) and not inventory.current
    )
    inventory.add_chunk("r", chunks[1])
    assert len(inventory.current) == 450
    reported[3] = ReportedServer("s003", "b", 1.0, 5.0, True)
    reported[4] = ReportedServer("s004", "b", 1.0, 6.0, True)
    found = [inventory.add_chunk("q", chunk) for chunk in split_server_list(reported[:-1])]
    assert found[-1] == {"a", "b"} and set(inventory.relabelled) == {"s003"}
    assert set(inventory.departed) == {"s449"} and ("s449", "a", 5.0) in inventory.snapshot()
    inventory.add_chunk("r", split_server_list([ReportedServer("s003", "b", 1.0, 7.0, True)])[0])
    assert not inventory.relabelled
    # An outdated list: its zone belongs to an earlier start, and the server may have another address by now.
    assert inventory.add_chunk("r", split_server_list([ReportedServer("s003", "a", 1.0, 5.0, True)])[0]) == {
        "a",
        "b",
    }
    assert inventory.relabelled == {"s003": 5.0}
    for zone in "ba":  # routers that disagree about its zone
        assert not inventory.add_chunk(
            "r", split_server_list([ReportedServer("s003", zone, 1.0, 5.0, True)])[0]
        )
