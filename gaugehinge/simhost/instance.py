"""Adapts one router of the simulation to the line protocol; it makes no decisions itself.

Messages become calls of the router, and its decisions become lines.
"""

from __future__ import annotations

from base64 import b64decode
from collections.abc import Sequence

from ..routing.router import Router
from ..routing.types import Action, BackgroundTask, Decision, EndpointEntry, Operation
from ..settings import parse_json, read_reported_load, read_settings
from . import replies
from .messages import Answered, ClientLeft, Completed, PeerMessage, ProbeResult, Submit, TimerFired

LOAD_REPORT_SEPARATOR = ":"  # between a name and its value in a load report
EMPTY_CONTENT = "-"
# Forms of a message from discovery. Any other form is a complete list.
POLL_FAILED = "error"
INCREMENTAL = "diff"
CACHED_LIST = "disk"  # a complete list that was stored before a restart


class Instance:
    """One router with its operations and timers.

    State: operations (each until it is finished and has no attempt in flight), and timers (each until it
    expires).
    """

    def __init__(self, number: str, fields: dict[str, str], now: float, reply_lines: list[str]) -> None:
        """Create the router that a `hello` line describes; its replies are appended to `reply_lines`."""
        self.number = number
        settings = read_settings(int(fields["randomSeed"]), parse_json(fields["info"]))
        self._traffic_types = settings.deployment.traffic_types
        self._traffic_type_rows = settings.traffic_type_rows
        self._tenant_indexes = settings.tenant_indexes
        self._reports_load = settings.reports_load
        self._operations: dict[str | int, Operation] = {}
        self._timers: dict[int, Operation | BackgroundTask] = {}
        self._last_timer_id = 0
        self._reply_lines = reply_lines
        self.router = Router(settings.deployment, now)
        self._has_started = False

    def start(self, now: float) -> None:
        """Start the background tasks, unless they run already; called for each endpoint list."""
        if not self._has_started:
            self._has_started = True
            for task in self.router.background_tasks:
                self._run_background_task(task, now)

    # -- messages

    def submit(self, message: Submit, now: float) -> None:
        """Route a new operation."""
        traffic_type = self._traffic_types[self._traffic_type_rows[message.traffic_type]]
        operation = Operation(
            ident=message.ident,
            traffic_type=traffic_type,
            key=message.key.encode(),
            tenant=self._tenant_indexes.get(message.tenant, -1),
            is_write=message.is_write,
            is_client_retry=message.is_client_retry,
            arrived_at=now,
            deadline=now + message.time_left,
        )
        self._operations[message.ident] = operation
        tenants = self._tenant_indexes
        # A tenant of another deployment would be served without a quota.
        if message.tenant and tenants and message.tenant not in tenants:
            operation.finished = True
            self._apply_decision(operation, Decision(Action.FAIL), now)
            return
        self._apply_decision(operation, self.router.route(operation, now), now)

    def completed(self, message: Completed, now: float) -> None:
        """Report an attempt that ended to the router, unless it is unknown or has ended before."""
        operation = self._operations.get(message.ident)
        if operation is None or message.attempt >= len(operation.attempts):
            return
        attempt = operation.attempts[message.attempt]
        if not attempt.in_flight:
            return
        reported_load = None
        if self._reports_load:
            reported_load = read_reported_load(message.load_report, LOAD_REPORT_SEPARATOR)
        steps = self.router.on_attempt_finished(
            attempt, message.outcome, message.elapsed, message.is_final, now, reported_load
        )
        for step in steps:
            self._apply_decision(step.operation, step.decision, now)
        self._remove_if_done(operation)

    def timer_fired(self, message: TimerFired, now: float) -> None:
        """Route again the operation, or run the background task, that the timer was set for."""
        waiting = self._timers.pop(message.timer_id, None)
        if isinstance(waiting, BackgroundTask):
            self._run_background_task(waiting, now)
        elif waiting is not None and not waiting.finished:
            self._apply_decision(waiting, self.router.route(waiting, now), now)

    def client_left(self, message: ClientLeft, now: float) -> None:
        """Cancel an operation, and its attempts in flight if the deployment allows that."""
        operation = self._operations.get(message.ident)
        if operation is None or operation.finished:
            return
        for attempt in self.router.cancel(operation):
            self._reply_lines.append(replies.cancel(self.number, attempt))
        self._remove_if_done(operation)

    def answered(self, message: Answered, now: float) -> None:
        """Mark an operation as finished."""
        operation = self._operations.get(message.ident)
        if operation is not None:
            operation.finished = True

    def peer_message(self, message: PeerMessage, now: float) -> None:
        """Pass a gossip message of a peer to the router."""
        payload = b"" if message.content == EMPTY_CONTENT else b64decode(message.content)
        self.router.on_gossip(message.peer, payload, now)

    def probe_result(self, message: ProbeResult, now: float) -> None:
        """Do nothing: the router sends no probes."""

    def endpoint_list(self, form: str, entries: Sequence[EndpointEntry], now: float) -> None:
        """Pass on an endpoint list, changes of it, or the failure of a poll."""
        if form == POLL_FAILED:
            self.router.on_poll_failed(now)
        else:
            self.router.on_endpoints_changed(entries, form != INCREMENTAL, form == CACHED_LIST, now)
        self.start(now)

    # -- decisions

    def _apply_decision(self, operation: Operation, decision: Decision, now: float) -> None:
        action = decision.action
        if action is Action.SEND and decision.attempt is not None:
            self._reply_lines.append(replies.send(self.number, decision.attempt, decision.timeout))
        elif action is Action.WAIT:
            self._set_timer(operation, self.router.time_until_recheck(operation, now))
        elif action is Action.REJECT:
            self._reply_lines.append(replies.reject(self.number, operation, decision.retry_after))
            self._remove_if_done(operation)
        elif action is Action.FAIL:
            self._reply_lines.append(replies.fail(self.number, operation))
            self._remove_if_done(operation)

    def _run_background_task(self, task: BackgroundTask, now: float) -> None:
        decision = self.router.route(task, now)
        if decision.action is Action.POLL:
            self._reply_lines.append(replies.poll(self.number))
        elif decision.action is Action.GOSSIP:
            for peer in decision.peers:
                self._reply_lines.append(replies.send_gossip(self.number, peer, decision.payload))
        self._set_timer(task, self.router.time_until_recheck(task, now))

    def _set_timer(self, waiting: Operation | BackgroundTask, wait: float) -> None:
        self._last_timer_id += 1
        self._timers[self._last_timer_id] = waiting
        self._reply_lines.append(replies.set_timer(self.number, self._last_timer_id, wait))

    def _remove_if_done(self, operation: Operation) -> None:
        if operation.finished and not any(attempt.in_flight for attempt in operation.attempts):
            self._operations.pop(operation.ident, None)

    def flush_log(self) -> None:
        """Send the log lines that the router has collected since the last call."""
        for text in self.router.log:
            self._reply_lines.append(replies.log(self.number, text))
        self.router.log.clear()
