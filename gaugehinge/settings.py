"""Parses the operators' JSON settings into types.

`read_settings` reads the settings object that the simulator sends and that a router's configuration file
holds. The operators' names for settings and their values are used in this module only.
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
# Whether the endpoint weights of each mode are used. Live weights are ignored: they follow the load, so every
# new endpoint list would move keys.
WEIGHT_MODES = {"off": False, "nominal": True, "rough": True, "live": False}
# Whether replies carry load reports.
LOAD_REPORT_SOURCES = {"off": False, "inline": True, "on_probe": False}
REQUIRED = object()  # the default of a field without which the settings are invalid

MICROSECONDS_PER_SECOND = 1e6
ROOT_PATH = "the whole"  # names the outermost object in error messages
DEFAULT_CLIENT_WAIT = 3.0  # seconds; used if the settings define no traffic type
# Concurrent attempts on a connection if the settings give no limit: any number over 1 has the same effect.
DEFAULT_MAX_STREAMS = 2


class SettingsError(ValueError):
    """A field is missing or invalid; the message begins with its path."""

    @property
    def path(self) -> str:
        """The path of the invalid field or object: the part of the message before the first colon."""
        return str(self).partition(": ")[0]


class SettingsReader:
    """Reads the fields of one JSON object, and knows the object's path so that an error can name the field.

    Each method reads the field `name`. A field that is missing or null has the default; if the default is
    `REQUIRED`, it is an error. All methods raise `SettingsError`.
    """

    def __init__(self, values: Any, path: str = "") -> None:
        """Wrap a decoded JSON object.

        Raises `SettingsError` if `values` is anything else.
        """
        if not isinstance(values, dict):
            raise SettingsError(f"{path or ROOT_PATH}: not an object")
        self.values = values
        self.path = path

    def _path_of(self, name: str) -> str:
        return f"{self.path}.{name}" if self.path else name

    def _value(self, name: str, default: Any) -> Any:
        value = self.values.get(name)
        if value is not None:
            return value
        if default is REQUIRED:
            raise self._error(name, "missing")
        return default

    def _error(self, name: str, problem: str) -> SettingsError:
        return SettingsError(f"{self._path_of(name)}: {problem}")

    def number(self, name: str, default: Any = REQUIRED, minimum: float = 0.0) -> float:
        """Read a finite number of at least `minimum`."""
        value = self._value(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value):
            raise self._error(name, "not a number")
        if value < minimum:
            raise self._error(name, f"{value} is under {minimum:g}")
        return float(value)

    def seconds(self, name: str, default: Any = REQUIRED) -> float:
        """Read a duration in microseconds and return it in seconds."""
        return self.number(name, default) / MICROSECONDS_PER_SECOND

    def count(self, name: str, default: Any = REQUIRED, minimum: int = 0) -> int:
        """Read a number of at least `minimum`, truncated to an integer."""
        return int(self.number(name, default, minimum))

    def flag(self, name: str, default: Any = REQUIRED) -> bool:
        """Read a boolean."""
        value = self._value(name, default)
        if value not in (True, False):
            raise self._error(name, "neither true nor false")
        return bool(value)

    def text(self, name: str, default: Any = REQUIRED) -> str:
        """Read a string."""
        value = self._value(name, default)
        if not isinstance(value, str):
            raise self._error(name, "not text")
        return value

    def choice(self, name: str, choices: dict[str, Any], default: str) -> Any:
        """Read a string that is a key of `choices`, and return that key's value."""
        value = self._value(name, default)
        if not isinstance(value, str) or value not in choices:
            raise self._error(name, f"none of {', '.join(choices)}")
        return choices[value]

    def section(self, name: str, default: Any = REQUIRED) -> SettingsReader:
        """Read a nested object."""
        return SettingsReader(self._value(name, default), self._path_of(name))

    def array(self, name: str, default: Any = REQUIRED) -> list[Any]:
        """Read a list without checking its elements."""
        value = self._value(name, default)
        if not isinstance(value, list):
            raise self._error(name, "not a list")
        return value

    def texts(self, name: str, default: Any = REQUIRED) -> list[str]:
        """Read a list of strings."""
        values = self.array(name, default)
        for index, value in enumerate(values):
            if not isinstance(value, str):
                raise self._error(f"{name}[{index}]", "not text")
        return values

    def sections(self, name: str, default: Any = REQUIRED) -> list[SettingsReader]:
        """Read a list of objects."""
        path = self._path_of(name)
        values = self.array(name, default)
        return [SettingsReader(value, f"{path}[{index}]") for index, value in enumerate(values)]


def read_reported_load(text: str, separator: str) -> float | None:
    """Return the number of active operations that a server's load report states, or None if it is malformed.

    A report is a comma-separated list of pairs, each a name and a value with `separator` between them.
    """
    fields = dict(part.split(separator, 1) for part in text.split(",") if separator in part)
    return parse_non_negative(fields.get("active", ""))


def parse_non_negative(text: str) -> float | None:
    """Return a received number, or None if the text is no number, or one that is negative or not finite."""
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0.0 <= value < inf else None


@dataclass(slots=True, frozen=True)
class Settings:
    """The deployment, and the settings that only the network layer and the simulator's host use.

    Times are in seconds.
    """

    deployment: Deployment
    traffic_type_rows: dict[str, int]  # indexes into `deployment.traffic_types` by name
    tenant_indexes: dict[str, int]  # indexes into `deployment.tenants` by name
    connect_timeout: float  # a connection that takes longer to establish never succeeds
    idle_timeout: float  # a server closes a connection that was idle for this long
    max_in_flight: int  # operations
    max_client_wait: float  # the longest that a client of any traffic type waits for a reply
    reports_load: bool = False  # whether replies state how many operations their server has in flight
    # Lists are pushed to a local agent; the router counts as notified of a list as soon as the agent has it.
    endpoints_pushed: bool = False
    drain_grace: float = 0.0  # a server listed as leaving may get new operations for this long


def read_settings(seed: int, settings: Any, path: str = "") -> Settings:
    """Read the settings object, which has the given path in its document.

    Raises `SettingsError`.
    """
    reader = SettingsReader(settings, path)
    allowed = reader.section("allowed", {})
    traffic_types = reader.sections("trafficTypes", [])
    tenants = reader.sections("parties", [])
    load_report = reader.section("report", {})
    load_report_names = load_report.texts("names", [])
    return Settings(
        deployment=_read_deployment(seed, reader, allowed, traffic_types, tenants),
        traffic_type_rows=_indexes_by_name(traffic_types),
        tenant_indexes=_indexes_by_name(tenants),
        connect_timeout=allowed.seconds("connectTimeoutUs", 250_000),
        idle_timeout=allowed.seconds("connIdleUs", 10_000_000),
        max_in_flight=allowed.count("openCap", 20_000, minimum=1),
        max_client_wait=_longest_client_wait(traffic_types),
        reports_load=load_report.choice("source", LOAD_REPORT_SOURCES, "off")
        and "active" in load_report_names,
        endpoints_pushed=reader.text("discovery", "") == "pushed",
        drain_grace=reader.section("rules", {}).seconds("drainGraceUs", 0),
    )


def _read_deployment(
    seed: int,
    reader: SettingsReader,
    allowed: SettingsReader,
    traffic_types: list[SettingsReader],
    tenants: list[SettingsReader],
) -> Deployment:
    rules = reader.section("rules", {})
    domain = reader.section("domain", {})
    prices = reader.section("prices", {})
    return Deployment(
        seed=seed,
        router_number=reader.count("me", 0),
        router_count=reader.count("replicasOfMe", 1, minimum=1),
        traffic_types=tuple(_read_traffic_type(row, entry) for row, entry in enumerate(traffic_types)),
        tenants=tuple(_read_tenant(entry) for entry in tenants),
        cache_aside=domain.text("mode", "") == "aside",
        origin_kind=_read_origin_kind(reader, domain),
        clock_granularity=reader.seconds("granularityUs", 1000),
        max_attempts=allowed.count("mostLegs", 1),
        cold_capacity=rules.number("coldFrom", 0.1),
        warm_up_time=rules.seconds("coldUs", 30_000_000),
        overload_multiple=rules.number("fallMultiple", 2.0),
        overload_time=rules.seconds("fallUs", 1_000_000),
        may_cancel=allowed.flag("mayCancel", False),
        may_gossip=allowed.flag("peers", False),
        must_poll=reader.text("discovery", "") == "on_request",
        max_retry_after=_read_max_retry_after(allowed),
        over_quota_weight=reader.number("beyondSharePayoff", 1.0),
        weight_by_work=reader.text("payoffBy", "") == "work",
        has_endpoint_weights=reader.choice("weights", WEIGHT_MODES, "off"),
        zone=reader.text("az", ""),
        cross_zone_price=prices.number("crossZone", 0.0),
        one_attempt_per_connection=allowed.count("maxStreams", DEFAULT_MAX_STREAMS, minimum=1) == 1,
        connection_price=prices.number("handshake", 0.0),
        poll_deadline=rules.seconds("askWithinUs", 10_000_000),
    )


def _read_traffic_type(row: int, reader: SettingsReader) -> TrafficType:
    """Read a traffic type; one with an unknown effect counts as non-idempotent."""
    scope = reader.text("group", "")
    return TrafficType(
        row=row,
        effect=EFFECTS.get(reader.text("effect", ""), Effect.NON_IDEMPOTENT),
        deduplication_scope=DEDUPLICATION_SCOPES.get(scope, DeduplicationScope.CELL),
        deduplication_window=reader.seconds("windowUs", 0),
        latency_objective=reader.seconds("promisedTimeUs"),
        priority_weight=reader.number("payoff", 1.0),
        late_weight=reader.number("overduePayoff", 0.0),
    )


def _read_tenant(reader: SettingsReader) -> Tenant:
    return Tenant(quota=reader.number("share", 0.0), rate_limit=reader.number("allowancePerS", 0.0))


def _read_origin_kind(reader: SettingsReader, domain: SettingsReader) -> Any:
    """Return the kind of server that is the origin: `originKind` is its index in `shapes`."""
    kinds = reader.array("shapes", [])
    index = int(domain.number("originKind", -1, minimum=-1))
    return kinds[index] if 0 <= index < len(kinds) else None


def _read_max_retry_after(allowed: SettingsReader) -> float:
    heeds_retry_after = allowed.flag("retryAfter", False)
    return allowed.seconds("maxRetryAfterUs", 0) if heeds_retry_after else 0.0


def _longest_client_wait(traffic_types: list[SettingsReader]) -> float:
    waits = (entry.seconds("abandonTimeUs", 3_000_000) for entry in traffic_types)
    return max(waits, default=DEFAULT_CLIENT_WAIT)


def _indexes_by_name(entries: list[SettingsReader]) -> dict[str, int]:
    return {entry.text("name"): index for index, entry in enumerate(entries)}


def parse_json(text: str) -> Any:
    """Decode a JSON text.

    Raises `SettingsError` if it is not valid JSON or is nested too deeply.
    """
    try:
        return json.loads(text)
    except (ValueError, RecursionError):
        raise SettingsError(f"{ROOT_PATH}: not JSON") from None
