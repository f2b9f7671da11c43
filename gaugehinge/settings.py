"""What a router is told at its start, from the operators' JSON. Their names for it end here.

`charter` reads the settings object that both the bench and a real router's configuration carry.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from math import inf, isfinite
from typing import Any

from .routing.types import DeduplicationScope, Deployment, Effect, Tenant, TrafficType

EFFECTS = {
    "repeatable": Effect.IDEMPOTENT,
    "by_key": Effect.WITH_IDEMPOTENCY_KEY,
    "once": Effect.NON_IDEMPOTENT,
}
DEDUPLICATION_SCOPES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
# Weights that follow the load would move keys with every list: they count as none.
WEIGHTS = {"off": False, "nominal": True, "rough": True, "live": False}
SOURCES = {"off": False, "inline": True, "on_probe": False}  # whether reports come with answers
REQUIRED = object()  # the default of a field that must be there


class SettingsError(ValueError):
    """A field is missing or makes no sense; the text names it."""


class SettingsReader:
    """One JSON object and the path that leads to it, so that a complaint can name the field."""

    def __init__(self, values: Any, path: str = "") -> None:
        if not isinstance(values, dict):
            raise SettingsError(f"{path or 'the whole'}: not an object")
        self.values = values
        self.path = path

    def _take(self, name: str, default: Any) -> tuple[str, Any]:
        path = f"{self.path}.{name}" if self.path else name
        value = self.values.get(name)
        if value is None:
            if default is REQUIRED:
                raise SettingsError(f"{path}: missing")
            value = default
        return path, value

    def number(self, name: str, default: Any = REQUIRED, least: float = 0.0) -> float:
        path, value = self._take(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value):
            raise SettingsError(f"{path}: not a number")
        if value < least:
            raise SettingsError(f"{path}: {value} is under {least:g}")
        return float(value)

    def seconds(self, name: str, default: Any = REQUIRED) -> float:
        return self.number(name, default) / 1e6

    def count(self, name: str, default: Any = REQUIRED, least: int = 0) -> int:
        return int(self.number(name, default, least))

    def flag(self, name: str, default: Any = REQUIRED) -> bool:
        path, value = self._take(name, default)
        if value not in (True, False):
            raise SettingsError(f"{path}: neither true nor false")
        return bool(value)

    def text(self, name: str, default: Any = REQUIRED) -> str:
        path, value = self._take(name, default)
        if not isinstance(value, str):
            raise SettingsError(f"{path}: not text")
        return value

    def word(self, name: str, known: dict[str, Any], default: str) -> Any:
        path, value = self._take(name, default)
        if not isinstance(value, str) or value not in known:
            raise SettingsError(f"{path}: none of {', '.join(known)}")
        return known[value]

    def page(self, name: str, default: Any = REQUIRED) -> SettingsReader:
        path, value = self._take(name, default)
        return SettingsReader(value, path)

    def row(self, name: str, default: Any = REQUIRED) -> list[Any]:
        path, value = self._take(name, default)
        if not isinstance(value, list):
            raise SettingsError(f"{path}: not a list")
        return value

    def texts(self, name: str, default: Any = REQUIRED) -> list[str]:
        path = f"{self.path}.{name}" if self.path else name
        found = self.row(name, default)
        for i, value in enumerate(found):
            if not isinstance(value, str):
                raise SettingsError(f"{path}[{i}]: not text")
        return found

    def pages(self, name: str, default: Any = REQUIRED) -> list[SettingsReader]:
        path = f"{self.path}.{name}" if self.path else name
        return [SettingsReader(value, f"{path}[{i}]") for i, value in enumerate(self.row(name, default))]


def read_reported_load(text: str, mark: str) -> float | None:
    """What a server holds, of its load report, names and values set apart by `mark`; garbled is none."""
    return parse_non_negative(
        dict(part.split(mark, 1) for part in text.split(",") if mark in part).get("active", "")
    )


def parse_non_negative(text: str) -> float | None:
    """A figure told by others: finite and not below nought, or none."""
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0.0 <= value < inf else None


@dataclass(slots=True, frozen=True)
class Settings:
    """The deployment, and what the door has to know besides."""

    deployment: Deployment
    traffic_type_rows: dict[str, int]  # rows of the traffic types by name
    tenant_indexes: dict[str, int]  # places in the table of tenants by name
    connect_timeout: float  # a connection that is not up by then never comes up
    idle_timeout: float  # a server closes what stood idle for this long
    max_in_flight: int  # operations in hand
    max_client_wait: float  # of a client for an answer
    reports_load: bool = False  # whether answers tell what their server holds
    endpoints_pushed: bool = (
        False  # lists are pushed to an agent at hand: what that has counts as told at once
    )


def _traffic_type(row: int, page: SettingsReader) -> TrafficType:
    return TrafficType(
        row=row,
        effect=EFFECTS.get(page.text("effect", ""), Effect.NON_IDEMPOTENT),
        deduplication_scope=DEDUPLICATION_SCOPES.get(page.text("group", ""), DeduplicationScope.CELL),
        deduplication_window=page.seconds("windowUs", 0),
        latency_objective=page.seconds("promisedTimeUs"),
        priority_weight=page.number("payoff", 1.0),
        late_weight=page.number("overduePayoff", 0.0),
    )


def read_settings(seed: int, settings: Any, path: str = "") -> Settings:
    """Read the settings object."""
    page = SettingsReader(settings, path)
    allowed, rules, domain = page.page("allowed", {}), page.page("rules", {}), page.page("domain", {})
    report, prices = page.page("report", {}), page.page("prices", {})
    types, parties = page.pages("trafficTypes", []), page.pages("parties", [])
    shapes, names = page.row("shapes", []), report.texts("names", [])
    kind = int(domain.number("originKind", -1, least=-1))
    heeds = allowed.flag("retryAfter", False)
    deployment = Deployment(
        seed=seed,
        router_number=page.count("me", 0),
        router_count=page.count("replicasOfMe", 1, least=1),
        traffic_types=tuple(_traffic_type(i, entry) for i, entry in enumerate(types)),
        tenants=tuple(Tenant(p.number("share", 0.0), p.number("allowancePerS", 0.0)) for p in parties),
        cache_aside=domain.text("mode", "") == "aside",
        origin_kind=shapes[kind] if 0 <= kind < len(shapes) else None,
        clock_granularity=page.seconds("granularityUs", 1000),
        max_attempts=allowed.count("mostLegs", 1),
        cold_capacity=rules.number("coldFrom", 0.1),
        warm_up_time=rules.seconds("coldUs", 30_000_000),
        overload_multiple=rules.number("fallMultiple", 2.0),
        overload_time=rules.seconds("fallUs", 1_000_000),
        may_cancel=allowed.flag("mayCancel", False),
        may_gossip=allowed.flag("peers", False),
        must_poll=page.text("discovery", "") == "on_request",
        max_retry_after=allowed.seconds("maxRetryAfterUs", 0) if heeds else 0.0,
        over_quota_weight=page.number("beyondSharePayoff", 1.0),
        weight_by_work=page.text("payoffBy", "") == "work",
        has_endpoint_weights=page.word("weights", WEIGHTS, "off"),
        zone=page.text("az", ""),
        cross_zone_price=prices.number("crossZone", 0.0),
        one_attempt_per_connection=allowed.count("maxStreams", 2, least=1) == 1,
        connection_price=prices.number("handshake", 0.0),
        poll_deadline=rules.seconds("askWithinUs", 10_000_000),
    )
    return Settings(
        deployment,
        {entry.text("name"): i for i, entry in enumerate(types)},
        {entry.text("name"): i for i, entry in enumerate(parties)},
        allowed.seconds("connectTimeoutUs", 250_000),
        allowed.seconds("connIdleUs", 10_000_000),
        allowed.count("openCap", 20_000, least=1),
        max((entry.seconds("abandonTimeUs", 3_000_000) for entry in types), default=3.0),
        report.word("source", SOURCES, "off") and "active" in names,
        page.text("discovery", "") == "pushed",
    )


def parse_json(text: str) -> Any:
    """JSON text to plain values."""
    try:
        return json.loads(text)
    except (ValueError, RecursionError):
        raise SettingsError("the whole: not JSON") from None
