"""Hosts one router for each instance of the bench and keeps its operations, attempts and timers in hand.

Lines become calls and answers become lines; nothing is decided here.
"""

from __future__ import annotations

import sys
import traceback
from base64 import b64decode, b64encode
from collections.abc import Iterable
from typing import TextIO

from ..routing.router import Router
from ..routing.types import Action, Attempt, BackgroundTask, Decision, EndpointEntry, Operation, Outcome
from ..settings import parse_json, read_reported_load, read_settings
from . import wire
from .wire import BadInput


class Instance:
    """One router with all that is in its hands."""

    def __init__(self, number: str, values: dict[str, str], now: float, lines: list[str]) -> None:
        self.number = number
        told = read_settings(int(values["randomSeed"]), parse_json(values["info"]))
        self.types, self.tenants, self.tells_held = (
            told.traffic_type_rows,
            told.tenant_indexes,
            told.reports_load,
        )
        self.table = told.deployment.traffic_types
        self.operations: dict[str, Operation] = {}  # until over and all attempts in
        self.timers: dict[int, Operation | BackgroundTask] = {}  # until due
        self.next_timer = 0
        self.lines = lines
        self.router = Router(told.deployment, now)
        self.timed = False

    def start(self, now: float) -> None:
        """After the first list: the errands begin."""
        if not self.timed:
            self.timed = True
            for task in self.router.background_tasks:
                self._errand(task, now)

    # -- lines in

    def submit(self, values: dict[str, str], now: float) -> None:
        ident, tenant = values["id"], values.get("billing", "")
        operation = Operation(
            ident,
            self.table[self.types[values["profile"]]],
            values.get("nameKey", ident).encode(),
            self.tenants.get(tenant, -1),
            values.get("isWrite") == "1",
            values.get("isRetry") == "1",
            now,
            now + int(values["leftUs"]) / 1e6,
        )
        self.operations[ident] = operation
        if tenant and self.tenants and tenant not in self.tenants:  # another customer's: beside all shares
            operation.finished = True
            self._do(operation, Decision(Action.FAIL), now)
            return
        self._do(operation, self.router.route(operation, now), now)

    def completed(self, values: dict[str, str], now: float) -> None:
        operation = self.operations.get(values["id"])
        number = int(values["trial"])
        if operation is None or number >= len(operation.attempts) or not operation.attempts[number].in_flight:
            return
        steps = self.router.on_attempt_finished(
            operation.attempts[number],
            wire.OUTCOMES.get(values["stateCode"], Outcome.UNKNOWN),
            int(values.get("tookUs", 0)) / 1e6,
            values.get("terminal") == "1",
            now,
            read_reported_load(values.get("gauge", ""), ":") if self.tells_held else None,
        )
        for each, answer in steps:
            self._do(each, answer, now)
        self._drop(operation)

    def timeout_fired(self, values: dict[str, str], now: float) -> None:
        thing = self.timers.pop(int(values["name"]), None)
        if isinstance(thing, BackgroundTask):
            self._errand(thing, now)
        elif thing is not None and not thing.finished:
            self._do(thing, self.router.route(thing, now), now)

    def abandoned(self, values: dict[str, str], now: float) -> None:
        operation = self.operations.get(values["id"])
        if operation is None or operation.finished:
            return
        for attempt in self.router.cancel(operation):
            self.lines.append(f"cancel\ti={self.number}\tid={operation.ident}\ttrial={attempt.number}")
        self._drop(operation)

    def ack_first(self, values: dict[str, str], now: float) -> None:
        operation = self.operations.get(values["id"])
        if operation is not None:
            operation.finished = True

    def neighbour_says(self, values: dict[str, str], now: float) -> None:
        text = values["content"]
        self.router.on_gossip(int(values["srcPeer"]), b"" if text == "-" else b64decode(text), now)

    def check_result(self, values: dict[str, str], now: float) -> None:
        """No probes are sent, so none is awaited."""

    def fleet(self, form: str, entries: Iterable[EndpointEntry], now: float) -> None:
        if form == "error":
            self.router.on_poll_failed(now)
        else:
            self.router.on_endpoints_changed(entries, form != "diff", form == "disk", now)
        self.start(now)

    # -- answers out

    def _do(self, operation: Operation, answer: Decision, now: float) -> None:
        verdict = answer.action
        if verdict is Action.SEND:
            self._send(answer.attempt, answer.timeout)
        elif verdict is Action.WAIT:
            self._timer(operation, self.router.time_until_recheck(operation, now))
        elif verdict is Action.REJECT:
            away = f"\tholdOffUs={wire.micros(answer.retry_after)}" if answer.retry_after else ""
            self.lines.append(f"deny\ti={self.number}\tid={operation.ident}{away}")
            self._drop(operation)
        elif verdict is Action.FAIL:
            self.lines.append(f"surrender\ti={self.number}\tid={operation.ident}")
            self._drop(operation)

    def _send(self, attempt: Attempt, time_out: float) -> None:
        self.lines.append(
            f"hand_off\ti={self.number}\tid={attempt.operation.ident}\tserver={attempt.endpoint.ident}"
            f"\tlimitUs={int(time_out * 1e6)}"
        )

    def _errand(self, task: BackgroundTask, now: float) -> None:
        answer = self.router.route(task, now)
        if answer.action is Action.POLL:
            self.lines.append(f"follow\ti={self.number}\tactive=1")
        elif answer.action is Action.GOSSIP:
            content = b64encode(answer.payload).decode()
            self.lines += [f"tell\ti={self.number}\tto={peer}\tcontent={content}" for peer in answer.peers]
        self._timer(task, self.router.time_until_recheck(task, now))

    def _timer(self, thing: Operation | BackgroundTask, wait: float) -> None:
        self.next_timer += 1
        self.timers[self.next_timer] = thing
        due = max(wire.micros(wait), 1)
        self.lines.append(f"schedule\ti={self.number}\tinUs={due}\tname={self.next_timer}")

    def _drop(self, operation: Operation) -> None:
        if operation.finished and not any(attempt.in_flight for attempt in operation.attempts):
            self.operations.pop(operation.ident, None)

    def flush_log(self) -> None:
        for text in self.router.log:
            self.lines.append(f"write_log\ti={self.number}\tmsg={text}")
        self.router.log.clear()


EVENTS = {
    "submit": Instance.submit,
    "completed": Instance.completed,
    "timeout_fired": Instance.timeout_fired,
    "abandoned": Instance.abandoned,
    "ack_first": Instance.ack_first,
    "neighbour_says": Instance.neighbour_says,
    "check_result": Instance.check_result,
}


class Host:
    """Reads batches, runs the instances, writes replies."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self.source = source
        self.sink = sink
        self.instances: dict[str, Instance] = {}
        self.lists: dict[str, list[EndpointEntry]] = {}
        self.lines: list[str] = []
        self.now = 0.0
        self.line_number = 0

    def run(self) -> int:
        try:
            while self._batch():
                pass
        except BadInput as bad:
            print(f"line {self.line_number}: {bad}", file=sys.stderr)
            return 1
        return 0

    def _line(self) -> str | None:
        line = self.source.readline()
        self.line_number += 1
        if not line:
            return None
        if not line.endswith("\n"):
            raise BadInput("input ends within a line")
        return line.rstrip("\r\n")

    def _batch(self) -> bool:
        line = self._line()
        if line is None:
            return False
        parts = line.split("\t")
        if parts[0] != "frame":
            raise BadInput(f"a batch begins with 'frame', not {parts[0]!r}")
        try:
            self.now = int(wire.fields(parts)["atTimeUs"]) / 1e6
        except (KeyError, ValueError) as bad:
            raise BadInput(f"frame: missing or malformed {bad}") from None
        while True:
            line = self._line()
            if line is None:
                raise BadInput("input ends within a batch")
            if line == "go":
                break
            self._event(line)
        self.lines.append("ok\n")
        self.sink.write("\n".join(self.lines))
        self.sink.flush()
        self.lines.clear()
        return True

    def _event(self, line: str) -> None:
        parts = line.split("\t")
        name = parts[0]
        handler = EVENTS.get(name)
        try:
            if handler is not None:
                values = dict([part.split("=", 1) for part in parts[1:]])
                instance = self.instances.get(values["i"])
                if instance is not None:
                    self._guarded(instance, handler, values)
            elif name == "hello":
                self._hello(line)
            elif name == "list":
                self._list(wire.fields(parts))
            elif name == "fleet":
                self._fleet(wire.fields(parts))
            elif name == "halt":
                self.instances.pop(wire.fields(parts)["i"], None)
            else:
                raise BadInput(f"unknown message {name!r}")
        except KeyError as bad:
            raise BadInput(f"{name}: missing or unknown {bad}") from None
        except ValueError as bad:
            raise BadInput(f"{name}: {bad}") from None

    def _guarded(self, instance: Instance, handler, *given) -> None:
        """A mistake in the decisions ends the day in plain sight; one in the input is told as such."""
        try:
            handler(instance, *given, self.now)
            if instance.router.log:
                instance.flush_log()
        except Exception as bad:
            if _from_decisions(bad):
                traceback.print_exc(file=sys.stderr)
                self.lines.append(f"fault\ti={instance.number}\tmsg={type(bad).__name__}: {bad}")
                return
            raise

    def _hello(self, line: str) -> None:
        # The settings run to the end of the line, whatever they hold.
        head, mark, info = line.partition("\tinfo=")
        if not mark:
            raise BadInput("hello: missing 'info'")
        values = wire.fields(head.split("\t"))
        values["info"] = info
        number = values["i"]
        int(number)
        self.instances[number] = Instance(number, values, self.now, self.lines)

    def _list(self, values: dict[str, str]) -> None:
        rows = []
        for _ in range(int(values["members"])):
            line = self._line()
            if line is None:
                raise BadInput("input ends within a list")
            parts = line.split("\t")
            if parts[0] != "row":
                raise BadInput(f"a list holds 'row' lines, not {parts[0]!r}")
            rows.append(wire.listing(wire.fields(parts)))
        self.lists[values["list"]] = rows

    def _fleet(self, values: dict[str, str]) -> None:
        form = values["form"]
        entries = [] if form == "error" else self.lists[values["list"]]
        instance = self.instances.get(values["i"])
        if instance is not None:
            self._guarded(instance, Instance.fleet, form, entries)


def _from_decisions(bad: Exception) -> bool:
    """Whether the error rose within the decision module."""
    trace = bad.__traceback__
    while trace is not None:
        if trace.tb_frame.f_globals.get("__name__", "").startswith("gaugehinge.routing."):
            return True
        trace = trace.tb_next
    return False
