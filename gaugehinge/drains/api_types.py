"""Bodies of the API's calls on limits, leases and rolling restarts."""

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

    upstream: str  # `origin`, `servers` (each that is not named), or a server's name
    limit: int
    held: int  # connections that nodes may have open at most, unknown nodes included
    least: int  # that it can be lowered to
    enforced: bool  # `held` is certainly within the limit
    revision: int


class LimitPage(msgspec.Struct, frozen=True):
    """All limits."""

    limits: list[LimitView]


class NodeStage(StrEnum):
    """Where a node stands with its lease."""

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
    granted: dict[str, int]  # empty: it is at its floors
    worst_case: dict[str, int]  # that it may have open
    open_connections: dict[str, int]  # as last reported
    demand: dict[str, int]
    heard_ago: float  # seconds; -1: not by this run of the control plane
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
    rejected: dict[str, str]  # nodes that are not admitted, and why
    suspension_reason: str  # why no new node is admitted; empty: no reason
    raises_in: float  # seconds until leases may be raised after this control plane's start


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
    steps: list[StepView] = []  # of one rolling restart alone


class RestartPage(msgspec.Struct, frozen=True, rename={"restarts": "rolls"}):
    """Rolling restarts, newest last."""

    restarts: list[RestartView]


class ChangeResult(msgspec.Struct, frozen=True):
    """What was changed."""

    detail: str
