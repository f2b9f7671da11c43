"""The events that the simulator sends to an instance, one type for each."""

from __future__ import annotations

from typing import NamedTuple

from ..routing.types import Outcome
from .wire import OUTCOMES, parse_seconds


class Submit(NamedTuple):
    """A client submitted an operation."""

    ident: str
    tenant: str  # empty if the event names none
    traffic_type: str
    key: str
    is_write: bool
    is_client_retry: bool
    time_left: float  # seconds until the deadline

    @classmethod
    def parse(cls, fields: dict[str, str]) -> Submit:
        """Parse the fields of the event."""
        ident = fields["id"]
        return cls(
            ident=ident,
            tenant=fields.get("billing", ""),
            traffic_type=fields["profile"],
            key=fields.get("nameKey", ident),
            is_write=fields.get("isWrite") == "1",
            is_client_retry=fields.get("isRetry") == "1",
            time_left=parse_seconds(fields["leftUs"]),
        )


class Completed(NamedTuple):
    """An attempt ended, with or without success."""

    ident: str
    attempt: int
    outcome: Outcome
    elapsed: float  # seconds
    is_final: bool  # the operation has its reply
    load_report: str  # empty if the event has none

    @classmethod
    def parse(cls, fields: dict[str, str]) -> Completed:
        """Parse the fields of the event."""
        return cls(
            ident=fields["id"],
            attempt=int(fields["trial"]),
            outcome=OUTCOMES.get(fields["stateCode"], Outcome.UNKNOWN),
            elapsed=parse_seconds(fields.get("tookUs", "0")),
            is_final=fields.get("terminal") == "1",
            load_report=fields.get("gauge", ""),
        )


class TimerFired(NamedTuple):
    """A timer expired."""

    timer_id: int

    @classmethod
    def parse(cls, fields: dict[str, str]) -> TimerFired:
        """Parse the fields of the event."""
        return cls(int(fields["name"]))


class ClientLeft(NamedTuple):
    """The client of an operation stopped waiting."""

    ident: str

    @classmethod
    def parse(cls, fields: dict[str, str]) -> ClientLeft:
        """Parse the fields of the event."""
        return cls(fields["id"])


class Answered(NamedTuple):
    """The client of an operation has its reply; attempts may still be in flight."""

    ident: str

    @classmethod
    def parse(cls, fields: dict[str, str]) -> Answered:
        """Parse the fields of the event."""
        return cls(fields["id"])


class PeerMessage(NamedTuple):
    """A peer sent a gossip message."""

    peer: int
    content: str  # base64; "-" if empty

    @classmethod
    def parse(cls, fields: dict[str, str]) -> PeerMessage:
        """Parse the fields of the event."""
        content = fields["content"]
        return cls(int(fields["srcPeer"]), content)


class ProbeResult(NamedTuple):
    """A health check ended. The router starts none, so this event is not expected."""

    @classmethod
    def parse(cls, fields: dict[str, str]) -> ProbeResult:
        """Return the event; its fields are not used."""
        return cls()
