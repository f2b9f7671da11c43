"""Request and response bodies of the API for limits, leases and rolling restarts.

The docstrings of the bodies are published in the OpenAPI description.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

import msgspec
from msgspec import Meta

from .restart_order import RestartOrder


class LimitUpdate(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"limit": "most"}):
    """How many connections an upstream takes."""

    limit: Annotated[int, Meta(ge=1, le=10**6)]


class LimitView(
    msgspec.Struct, frozen=True, rename={"upstream": "store", "limit": "most", "enforced": "reached"}
):
    """A limit, and what of it is held in the worst case."""

    upstream: str  # `origin`, `servers` (each server without its own limit), or a server's uid
    limit: int
    held: int  # most connections that nodes may have open, unknown nodes included
    least: int  # the lowest value that the limit can be set to
    enforced: bool  # `held` is certainly within the limit
    revision: int


class LimitPage(msgspec.Struct, frozen=True):
    """All limits."""

    limits: list[LimitView]


class NodeStage(StrEnum):
    """State of a node with regard to its lease."""

    GRANTED = "granted"
    SILENT = "silent"
    LOST = "lost"  # certainly at its floors
    CLOSED = "closed"
    DRAINING = "leaving"


class NodeView(
    msgspec.Struct,
    frozen=True,
    rename={
        "granted": "values",
        "worst_case": "held",
        "open_connections": "counted",
        "demand": "need",
        "heard_ago": "heard",
    },
):
    """A node that may exist, and its lease."""

    node: str
    run: str
    number: int
    granted: dict[str, int]  # empty: the node is limited to its floors
    worst_case: dict[str, int]  # most connections that it may have open
    open_connections: dict[str, int]  # as last reported
    demand: dict[str, int]
    heard_ago: float  # seconds since its last report; -1: none to this run of the control plane
    stage: str  # a NodeStage


class LeasePage(
    msgspec.Struct,
    frozen=True,
    rename={
        "max_nodes": "most_nodes",
        "rejected": "refused",
        "suspension_reason": "doubt",
        "raises_in": "settled_in",
    },
):
    """All leases."""

    nodes: list[NodeView]
    max_nodes: int
    rejected: dict[str, str]  # by node that is not admitted: the reason
    suspension_reason: str  # why no new node is admitted; empty: not suspended
    raises_in: float  # seconds until leases may be raised, after a start of the control plane


class StepView(msgspec.Struct, frozen=True, rename={"reason": "why"}):
    """A node of a rolling restart."""

    node: str
    stage: str
    reason: str = ""


class RestartView(
    msgspec.Struct,
    frozen=True,
    rename={
        "unavailable": "out",
        "reverting": "back",
        "reason": "why",
        "created_by": "by",
        "created_at": "at",
    },
):
    """A rolling restart as it stands."""

    id: str
    status: str
    order: RestartOrder
    nodes: int
    waiting: int
    unavailable: int
    done: int
    skipped: int
    reverting: bool
    reason: str
    created_by: str
    created_at: float
    revision: int
    steps: list[StepView] = []  # only in the view of a single rolling restart


class RestartPage(msgspec.Struct, frozen=True, rename={"restarts": "rolls"}):
    """Rolling restarts, newest last."""

    restarts: list[RestartView]


class ChangeResult(msgspec.Struct, frozen=True):
    """What was changed."""

    detail: str
