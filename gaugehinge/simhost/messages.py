"""What the simulator sends to an instance, one type for each event."""

from __future__ import annotations

from typing import NamedTuple

from ..routing.types import Outcome
from .wire import OUTCOMES, parse_seconds


class Submit(NamedTuple):
    """A client's operation came in."""

    ident: str
    tenant: str  # empty without
    traffic_type: str
    key: str
    is_write: bool
    is_client_retry: bool
    time_left: float  # seconds

    @classmethod
    def parse(cls, fields: dict[str, str]) -> Submit:
        """Read the event."""
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
    """An attempt ended."""

    ident: str
    attempt: int
    outcome: Outcome
    elapsed: float  # seconds
    is_final: bool  # the operation got its answer
    load_report: str  # empty without

    @classmethod
    def parse(cls, fields: dict[str, str]) -> Completed:
        """Read the event."""
        return cls(
            ident=fields["id"],
            attempt=int(fields["trial"]),
            outcome=OUTCOMES.get(fields["stateCode"], Outcome.UNKNOWN),
            elapsed=parse_seconds(fields.get("tookUs", "0")),
            is_final=fields.get("terminal") == "1",
            load_report=fields.get("gauge", ""),
        )


class TimerFired(NamedTuple):
    """A timer is due."""

    timer_id: int

    @classmethod
    def parse(cls, fields: dict[str, str]) -> TimerFired:
        """Read the event."""
        return cls(int(fields["name"]))


class ClientLeft(NamedTuple):
    """An operation's client waits no longer."""

    ident: str

    @classmethod
    def parse(cls, fields: dict[str, str]) -> ClientLeft:
        """Read the event."""
        return cls(fields["id"])


class Answered(NamedTuple):
    """An operation's client has its answer, though attempts may still be in flight."""

    ident: str

    @classmethod
    def parse(cls, fields: dict[str, str]) -> Answered:
        """Read the event."""
        return cls(fields["id"])


class PeerMessage(NamedTuple):
    """Another router sent something."""

    peer: int
    content: str  # in base 64; "-" where there is none

    @classmethod
    def parse(cls, fields: dict[str, str]) -> PeerMessage:
        """Read the event."""
        content = fields["content"]
        return cls(int(fields["srcPeer"]), content)


class ProbeResult(NamedTuple):
    """A health check ended. None are made here."""

    @classmethod
    def parse(cls, fields: dict[str, str]) -> ProbeResult:
        """Read the event, of which nothing is used."""
        return cls()
