"""The bench wire: lines to fields and back. The wire's names are used here and in host.py only."""

from __future__ import annotations

from typing import Any

from ..routing.types import EndpointEntry, EndpointState, Outcome
from ..settings import parse_non_negative

OUTCOMES = {
    "delivered": Outcome.SUCCEEDED,
    "app_error": Outcome.SERVER_ERROR,
    "shed": Outcome.REJECTED,
    "expired": Outcome.TIMED_OUT,
    "dial_failed": Outcome.CONNECT_FAILED,
    "dropped": Outcome.CONNECTION_LOST,
    "revoked": Outcome.CANCELLED,
    "unused": Outcome.NOT_SENT,
    "empty": Outcome.CACHE_MISS,
}
PRESENCES = {"U": EndpointState.UP, "L": EndpointState.DRAINING, "D": EndpointState.GONE}


class BadInput(Exception):
    """The input is not the wire's; the text says what is wrong."""


def fields(parts: list[str]) -> dict[str, str]:
    """The name=value parts of a line, after its name."""
    try:
        return dict([part.split("=", 1) for part in parts[1:]])
    except ValueError:
        raise BadInput(f"{parts[0]}: a part without '='") from None


def seconds(value: Any) -> float:
    return int(value) / 1e6


def micros(value: float) -> int:
    return int(value * 1e6)


def listing(values: dict[str, str]) -> EndpointEntry:
    """One `row` of a list."""
    presence = PRESENCES.get(values.get("availability", "U"))
    if presence is None:
        # An unknown state may mean anything: nothing new is sent there.
        presence = EndpointState.DRAINING
    return EndpointEntry(
        int(values["server"]),
        values.get("az", ""),
        values.get("classOfHost", ""),
        int(values.get("stripe", 0)),
        presence,
        seconds(values.get("cameUpUs", 0)),
        parse_non_negative(values.get("weight", "")) or 0.0,
    )
