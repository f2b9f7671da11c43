"""The simulator's line protocol: a message name, then `name=value` fields, all separated by tabs.

The names of this protocol are used in this package only.
"""

from __future__ import annotations

from ..routing.types import EndpointEntry, EndpointState, Outcome
from ..settings import parse_non_negative

MICROSECONDS_PER_SECOND = 1e6

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
    """The input violates the line protocol; the message says how."""


def parse_fields(parts: list[str]) -> dict[str, str]:
    """Return the fields of a line that is split at its tabs; the first part is the message name.

    Raises `WireError` if a part is no field.
    """
    try:
        return dict([part.split("=", 1) for part in parts[1:]])
    except ValueError:
        raise WireError(f"{parts[0]}: a part without '='") from None


def parse_seconds(text: str) -> float:
    """Parse a whole number of microseconds and return it in seconds.

    Raises `ValueError`.
    """
    return int(text) / MICROSECONDS_PER_SECOND


def to_microseconds(seconds: float) -> int:
    """Convert seconds to whole microseconds."""
    return int(seconds * MICROSECONDS_PER_SECOND)


def parse_endpoint_entry(fields: dict[str, str]) -> EndpointEntry:
    """Parse the fields of one `row` of an endpoint list.

    An unknown state counts as draining: it may mean anything, so no new attempts go to such a server.
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
