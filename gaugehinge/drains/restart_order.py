"""Orders for rolling restarts: which nodes, how many at once, and when to stop."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from .restart_types import NodeStatus

MAX_NODES = 4096  # that one order may select

NodeKind = Literal["routers", "servers"]
Names = Annotated[list[Annotated[str, Meta(min_length=1, max_length=200)]], Meta(max_length=MAX_NODES)]
Count = Annotated[int, Meta(ge=0, le=1_000_000)]
Duration = Annotated[float, Meta(ge=0, le=7 * 86400)]


class InvalidOrderError(Exception):
    """An order, or an action on a restart, that cannot be carried out."""

    def __init__(self, reason: str, field: str) -> None:
        """`field` is the invalid field as the API names it; nested fields are joined by dots."""
        super().__init__(reason)
        self.field = field


class NodeSelector(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Which nodes an order is for: all that match every list that is not empty."""

    all: bool = False  # required to select every node, if all lists are empty
    names: Names = []
    zones: Names = []
    builds: Names = []
    labels: Names = []

    def is_empty(self) -> bool:
        """Whether the selector has neither `all` nor an entry in any list."""
        return not (self.all or self.names or self.zones or self.builds or self.labels)

    def matches(self, node: NodeStatus) -> bool:
        """Whether a node matches every non-empty list."""
        return (
            (not self.names or node.name in self.names)
            and (not self.zones or node.zone in self.zones)
            and (not self.builds or node.build in self.builds)
            and (not self.labels or bool(node.labels & set(self.labels)))
        )


class RestartOrder(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={
        "selector": "who",
        "max_unavailable": "most_out",
        "max_unavailable_in_zone": "most_out_zone",
        "max_unavailable_in_region": "most_out_region",
        "max_unavailable_connections": "most_out_connections",
        "on_timeout": "hangs",
        "not_before": "starts",
        "not_after": "ends",
        "max_burn_rate": "most_burn",
    },
):
    """A rolling restart as it is asked for. Times are in seconds."""

    selector: NodeSelector
    kind: NodeKind = "routers"
    max_unavailable: Annotated[
        int, Meta(ge=1, le=MAX_NODES, description="nodes out at once, for any reason")
    ] = 1
    max_unavailable_in_zone: Annotated[Count, Meta(description="the same in one zone; 0: as `most_out`")] = 0
    max_unavailable_in_region: Annotated[
        Count, Meta(description="the same in one region; 0: as `most_out`")
    ] = 0
    max_unavailable_connections: Annotated[
        Count, Meta(description="connections to the origin held by those that are out; 0: not bounded")
    ] = 0
    warm_up: Annotated[Duration, Meta(description="up for so long, a node counts as back")] = 5.0
    deadline: Annotated[Duration, Meta(description="from when a node was told until it is warm again")] = (
        120.0
    )
    on_timeout: Annotated[
        Literal["skip", "stop", "end"],
        Meta(description="over its deadline: go on without it, stop, or order it to end at once"),
    ] = "stop"
    not_before: Annotated[
        float, Meta(ge=0, description="Unix time from which nodes are told; 0: at once")
    ] = 0.0
    not_after: Annotated[float, Meta(ge=0, description="Unix time until which; 0: without end")] = 0.0
    headroom: Annotated[
        float, Meta(ge=0, le=10, description="part of the load measured now that must fit beside it")
    ] = 0.2
    objective: Annotated[
        float, Meta(ge=0.5, le=0.99999, description="part of the operations that is to be settled")
    ] = 0.99
    max_burn_rate: Annotated[
        float, Meta(gt=0, le=1000, description="lost service over what the objective leaves: the roll stops")
    ] = 10.0
    build: Annotated[str, Meta(max_length=200, description="that nodes come back with; empty: any")] = ""

    def is_open(self, wall_time: float) -> bool:
        """Whether nodes may be notified at `wall_time` (Unix time)."""
        return wall_time >= self.not_before and not (self.not_after and wall_time >= self.not_after)


def select_nodes(order: RestartOrder, nodes: Iterable[NodeStatus]) -> list[str]:
    """Return the names of the selected nodes, in the order in which they are restarted.

    Raises InvalidOrderError if the order selects no node or more than MAX_NODES, names an unknown node, has
    an empty selector, or ends before it starts.
    """
    selector = order.selector
    if selector.is_empty():
        raise InvalidOrderError("say which nodes, or `all`", "who")
    if order.not_after and order.not_after <= order.not_before:
        raise InvalidOrderError("ends before it starts", "ends")
    known = {node.name: node for node in nodes}
    for name in selector.names:
        if name not in known:
            raise InvalidOrderError(f"no node {name} is known", "who.names")
    found = [node for node in known.values() if selector.matches(node)]
    if not found:
        raise InvalidOrderError("no node is meant", "who")
    if len(found) > MAX_NODES:
        raise InvalidOrderError(f"over {MAX_NODES} nodes", "who")
    return [node.name for node in sorted(found, key=lambda node: (node.zone, node.name))]
