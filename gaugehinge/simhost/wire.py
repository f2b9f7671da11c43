"""The bench wire: lines to fields and back. The wire's names are used here and in host.py only."""

from __future__ import annotations

import json
from typing import Any

from ..terms import Deployment, Effect, Group, Listing, Outcome, Presence, Tenant, TrafficType

OUTCOMES = {
    "delivered": Outcome.SETTLED,
    "app_error": Outcome.ERRORED,
    "shed": Outcome.TURNED_AWAY,
    "expired": Outcome.TIMED_OUT,
    "dial_failed": Outcome.NOT_CONNECTED,
    "dropped": Outcome.BROKEN,
    "revoked": Outcome.CALLED_OFF,
    "unused": Outcome.NEVER_SENT,
    "empty": Outcome.MISSED,
}
EFFECTS = {"repeatable": Effect.IDEMPOTENT, "by_key": Effect.DEDUPLICATED, "once": Effect.UNREPEATABLE}
GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}
PRESENCES = {"U": Presence.UP, "L": Presence.DRAINING, "D": Presence.GONE}


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


def listing(values: dict[str, str]) -> Listing:
    """One `row` of a list."""
    presence = PRESENCES.get(values.get("availability", "U"))
    if presence is None:
        # An unknown state may mean anything: nothing new is sent there.
        presence = Presence.DRAINING
    return Listing(
        int(values["server"]), values.get("az", ""), values.get("classOfHost", ""),
        int(values.get("stripe", 0)), presence, seconds(values.get("cameUpUs", 0)),
    )


def _traffic_type(row: int, entry: dict) -> TrafficType:
    return TrafficType(
        row=row,
        effect=EFFECTS.get(entry.get("effect", ""), Effect.UNREPEATABLE),
        group=GROUPS.get(entry.get("group", ""), Group.CELL),
        memory=seconds(entry.get("windowUs", 0)),
        promised=seconds(entry["promisedTimeUs"]),
        payoff=float(entry.get("payoff", 1.0)),
        late_payoff=float(entry.get("overduePayoff", 0.0)),
    )


def deployment(seed: int, info_text: str) -> tuple[Deployment, dict[str, int], dict[str, int]]:
    """The first message: what the router is told, and the rows of traffic types and tenants by name."""
    info = json.loads(info_text)
    allowed, rules, domain = info.get("allowed", {}), info.get("rules", {}), info.get("domain", {})
    types = info.get("trafficTypes", [])
    parties = info.get("parties", [])
    shapes = info.get("shapes", [])
    aside = domain.get("mode") == "aside"
    kind = domain.get("originKind", -1)
    told = Deployment(
        seed=seed,
        me=int(info.get("me", 0)),
        routers=int(info.get("replicasOfMe", 1)),
        traffic_types=tuple(_traffic_type(i, t) for i, t in enumerate(types)),
        tenants=tuple(
            Tenant(float(p.get("share", 0.0)), float(p.get("allowancePerS", 0.0))) for p in parties
        ),
        aside=aside,
        origin_kind=shapes[kind] if 0 <= kind < len(shapes) else None,
        tick=seconds(info.get("granularityUs", 1000)),
        most_legs=int(allowed.get("mostLegs", 1)),
        cold_from=float(rules.get("coldFrom", 0.1)),
        cold_time=seconds(rules.get("coldUs", 30_000_000)),
        fall_multiple=float(rules.get("fallMultiple", 2.0)),
        fall_time=seconds(rules.get("fallUs", 1_000_000)),
        may_cancel=bool(allowed.get("mayCancel", False)),
        may_message=bool(allowed.get("peers", False)),
        must_ask=info.get("discovery") == "on_request",
        longest_come_back=seconds(allowed.get("maxRetryAfterUs", 0)) if allowed.get("retryAfter") else 0.0,
        beyond_share=float(info.get("beyondSharePayoff", 1.0)),
        payoff_by_work=info.get("payoffBy") == "work",
    )
    by_name = {t["name"]: i for i, t in enumerate(types)}
    return told, by_name, {p["name"]: i for i, p in enumerate(parties)}
