"""The simulator's wire: lines of tab-separated `name=value` fields. Its words stay in this package."""

from __future__ import annotations

from ..routing.types import EndpointEntry, EndpointState, Outcome
from ..settings import parse_non_negative

MICROSECONDS_PER_SECOND = 1e6  # in a second

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
ENDPOINT_STATES = {"U": EndpointState.UP, "L": EndpointState.DRAINING, "D": EndpointState.GONE}


class WireError(Exception):
    """The input is not the wire's; the text says what is wrong."""


def parse_fields(parts: list[str]) -> dict[str, str]:
    """Return the fields of a line, which stand behind its name."""
    try:
        return dict([part.split("=", 1) for part in parts[1:]])
    except ValueError:
        raise WireError(f"{parts[0]}: a part without '='") from None


def parse_seconds(text: str) -> float:
    """Return a count of microseconds in seconds."""
    return int(text) / MICROSECONDS_PER_SECOND


def to_microseconds(seconds: float) -> int:
    """Return seconds in whole microseconds."""
    return int(seconds * MICROSECONDS_PER_SECOND)


def parse_endpoint_entry(fields: dict[str, str]) -> EndpointEntry:
    """Read one `row` of an endpoint list.

    A state that is not known may mean anything: nothing new is sent to such a server.
    """
    return EndpointEntry(
        ident=int(fields["server"]),
        zone=fields.get("az", ""),
        kind=fields.get("classOfHost", ""),
        cell=int(fields.get("stripe", 0)),
        state=ENDPOINT_STATES.get(fields.get("availability", "U"), EndpointState.DRAINING),
        started=parse_seconds(fields.get("cameUpUs", "0")),
        weight=parse_non_negative(fields.get("weight", "")) or 0.0,
    )
