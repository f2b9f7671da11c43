"""Parses the commands `KV.GET` and `KV.SET` and their labels into operations and payloads for servers."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from ..routing.types import Effect, Operation, TrafficType
from ..settings import Settings
from .codec import RequestPayload
from .recent_request_ids import RecentRequestIds
from .request_errors import (
    InvalidLabelError,
    MalformedLabelsError,
    RequestIdInUseError,
    UnprintableTextError,
    WrongArgumentCountError,
)
from .resp import Frame, Message
from .timer_queue import TimerQueue

MAX_CLIENT_WAIT = 3600.0  # seconds; a longer wait is reduced to this
MAX_WAIT_DIGITS = 12
MAX_LABELS = 64  # of a request; several times as many as any deployment names
# Seconds by which the deadline precedes the end of the client's wait, besides the loop's lag: time for the
# reply to reach the client.
REPLY_MARGIN = 0.005
# Share of the wait that the margin may take: after a long stall, requests with a short wait must not all be
# given up.
MAX_MARGIN_FRACTION = 0.25
MILLISECONDS = 1000.0
NO_TENANT = -1
PRINTABLE_ASCII = re.compile(rb"[!-~]+")  # bytes that are allowed in an HTTP header

# label names on the wire
CLASS_LABEL = "c"  # traffic type
IDEMPOTENCY_KEY_LABEL = "k"
RETRY_LABEL = "r"  # 1: the request is a retry by the client
TENANT_LABEL = "t"
WAIT_LABEL = "d"  # milliseconds that the client waits
WAIT_LABEL_BYTES = b"d"


class Labels(NamedTuple):
    """The labels of a request by name, and their bytes before and after the value of the wait label."""

    values: dict[str, str]
    around_wait: tuple[bytes, bytes]


class ParsedRequest(NamedTuple):
    """A request as an operation to be routed, and the payload to send to servers."""

    operation: Operation
    payload: RequestPayload
    client_waits_until: float  # seconds of the router's clock; the client ignores later replies


class RequestParser:
    """Turns the requests of one front into operations."""

    def __init__(
        self,
        settings: Settings,
        timers: TimerQueue,
        request_ids: RecentRequestIds,
        tenant_indexes: Mapping[str, int],
    ) -> None:
        """Create a parser.

        `tenant_indexes`: index in the tenant table by name; empty if tenants are not identified by a label.
        """
        self._settings = settings
        self._timers = timers
        self._request_ids = request_ids
        self._tenant_indexes = tenant_indexes

    def parse(
        self, message: Message, is_write: bool, arrived_at: float, is_waiting: Callable[[], bool]
    ) -> ParsedRequest:
        """Parse one command, whose parts must all be bulk strings.

        `arrived_at`: seconds; `is_waiting` returns whether the client still waits. Raises RequestError.
        """
        parts: Any = message.top.body
        if len(parts) != 4 + is_write:
            raise WrongArgumentCountError
        key, request_id, labels_text = parts[1].body, parts[2].body, parts[3].body
        if not PRINTABLE_ASCII.fullmatch(request_id) or not PRINTABLE_ASCII.fullmatch(labels_text):
            raise UnprintableTextError
        labels, around_wait = parse_labels(labels_text)
        tenant = self._tenant_index(labels.get(TENANT_LABEL, ""))
        traffic_type = self._traffic_type(labels)
        wait = _parse_wait(labels)
        if traffic_type.effect is Effect.WITH_IDEMPOTENCY_KEY and is_write:
            _require_idempotency_key(labels)
        if request_id in self._request_ids:
            raise RequestIdInUseError
        margin = min(REPLY_MARGIN + self._timers.lag, MAX_MARGIN_FRACTION * wait)
        is_retry = labels.get(RETRY_LABEL) == "1"
        deadline = arrived_at + wait - margin
        operation = Operation(0, traffic_type, key, tenant, is_write, is_retry, arrived_at, deadline)
        command_tail = message.raw[parts[3].end :]
        payload = RequestPayload(
            request_id,
            key,
            around_wait,
            labels_text,
            message.raw[: parts[3].start],
            command_tail,
            _value_within(command_tail, parts[3], parts[4]) if is_write else None,
            client_is_waiting=is_waiting,
        )
        return ParsedRequest(operation, payload, arrived_at + wait)

    def _tenant_index(self, name: str) -> int:
        """Return a tenant's index, or NO_TENANT without a label or if the settings name no tenants."""
        indexes = self._tenant_indexes
        if name and indexes and name not in indexes:
            # Treated as belonging to no tenant, the request would bypass all quotas.
            raise InvalidLabelError(TENANT_LABEL, "no such tenant")
        return indexes.get(name, NO_TENANT)

    def _traffic_type(self, labels: dict[str, str]) -> TrafficType:
        row = self._settings.traffic_type_rows.get(labels.get(CLASS_LABEL, ""))
        if row is None:
            raise InvalidLabelError(CLASS_LABEL, "no such class")
        return self._settings.deployment.traffic_types[row]


def _value_within(command_tail: bytes, labels: Frame, value: Frame) -> memoryview:
    """Return the value of a write without a copy; the bytes after the labels contain it."""
    return memoryview(command_tail)[value.body_start - labels.end : value.body_end - labels.end]


def _parse_wait(labels: dict[str, str]) -> float:
    """Return the time that the client waits, in seconds."""
    text = labels.get(WAIT_LABEL, "")
    if not text.isdigit() or len(text) > MAX_WAIT_DIGITS:
        raise InvalidLabelError(WAIT_LABEL, "not a number of milliseconds")
    return min(int(text) / MILLISECONDS, MAX_CLIENT_WAIT)


def _require_idempotency_key(labels: dict[str, str]) -> None:
    """Raise InvalidLabelError if the idempotency key is missing.

    Operations of this traffic type may be repeated, and without a key a server could not recognise a repeated
    attempt.
    """
    if not labels.get(IDEMPOTENCY_KEY_LABEL):
        raise InvalidLabelError(IDEMPOTENCY_KEY_LABEL, "missing")


def parse_labels(text: bytes) -> Labels:
    """Parse comma-separated `name=value` labels. Raises RequestError."""
    values: dict[str, str] = {}
    around_wait = None
    start = 0
    labels = text.split(b",", MAX_LABELS)
    if len(labels) > MAX_LABELS:
        raise MalformedLabelsError
    for label in labels:
        name, separator, value = label.partition(b"=")
        if not separator or not name or name.decode() in values:
            raise MalformedLabelsError
        values[name.decode()] = value.decode()
        end = start + len(label)
        if name == WAIT_LABEL_BYTES:
            around_wait = text[: end - len(value)], text[end:]
        start = end + 1
    if around_wait is None:
        raise InvalidLabelError(WAIT_LABEL, "missing")
    return Labels(values, around_wait)
