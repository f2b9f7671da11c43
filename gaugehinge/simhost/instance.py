"""One router of the simulation: messages become calls, decisions become lines. Nothing is decided here."""

from __future__ import annotations

from base64 import b64decode
from collections.abc import Sequence

from ..routing.router import Router
from ..routing.types import Action, BackgroundTask, Decision, EndpointEntry, Operation
from ..settings import parse_json, read_reported_load, read_settings
from . import replies
from .messages import Answered, ClientLeft, Completed, PeerMessage, ProbeResult, Submit, TimerFired

LOAD_REPORT_SEPARATOR = ":"  # between a name and its value
EMPTY_CONTENT = "-"
# Forms of what discovery sent. Any other is the whole list.
POLL_FAILED = "error"
INCREMENTAL = "diff"
CACHED_LIST = "disk"  # the whole list, as it was kept over a restart


class Instance:
    """A router with the operations and timers in its hands.

    State: operations (one leaves when it is finished and no attempt of it is in flight), and timers
    until they are due.
    """

    def __init__(self, number: str, fields: dict[str, str], now: float, reply_lines: list[str]) -> None:
        """Make the router of a `hello` line; what it tells goes to `reply_lines`."""
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
        """Begin the background tasks, after the first endpoint list."""
        if not self._has_started:
            self._has_started = True
            for task in self.router.background_tasks:
                self._run_background_task(task, now)

    # -- messages

    def submit(self, message: Submit, now: float) -> None:
        """Route an operation that came in."""
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
        if (
            message.tenant and tenants and message.tenant not in tenants
        ):  # of another deployment: without a quota
            operation.finished = True
            self._apply_decision(operation, Decision(Action.FAIL), now)
            return
        self._apply_decision(operation, self.router.route(operation, now), now)

    def completed(self, message: Completed, now: float) -> None:
        """Tell the router of an attempt that ended, unless it knows already."""
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
        """Ask the router again about what waited."""
        waiting = self._timers.pop(message.timer_id, None)
        if isinstance(waiting, BackgroundTask):
            self._run_background_task(waiting, now)
        elif waiting is not None and not waiting.finished:
            self._apply_decision(waiting, self.router.route(waiting, now), now)

    def client_left(self, message: ClientLeft, now: float) -> None:
        """Cancel an operation and its attempts."""
        operation = self._operations.get(message.ident)
        if operation is None or operation.finished:
            return
        for attempt in self.router.cancel(operation):
            self._reply_lines.append(replies.cancel(self.number, attempt))
        self._remove_if_done(operation)

    def answered(self, message: Answered, now: float) -> None:
        """Note that an operation has its answer."""
        operation = self._operations.get(message.ident)
        if operation is not None:
            operation.finished = True

    def peer_message(self, message: PeerMessage, now: float) -> None:
        """Pass on a peer's message."""
        payload = b"" if message.content == EMPTY_CONTENT else b64decode(message.content)
        self.router.on_gossip(message.peer, payload, now)

    def probe_result(self, message: ProbeResult, now: float) -> None:
        """Do nothing: no probes are sent, so none is awaited."""

    def endpoint_list(self, form: str, entries: Sequence[EndpointEntry], now: float) -> None:
        """Pass on an endpoint list, its changes, or that discovery failed to tell it."""
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
        """Tell the router's log lines of the last call."""
        for text in self.router.log:
            self._reply_lines.append(replies.log(self.number, text))
        self.router.log.clear()
