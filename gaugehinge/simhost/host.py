"""Hosts the routers of a simulation, one instance each: reads batches of events and writes the replies."""

from __future__ import annotations

import sys
import traceback
from collections.abc import Callable
from typing import Any, TextIO

from .. import routing
from ..routing.types import EndpointEntry
from . import messages, replies, wire
from .instance import POLL_FAILED, Instance
from .wire import WireError

# For each event, by its name in the protocol: the function that parses it, and the method that handles it.
EVENTS: dict[str, tuple[Callable[[dict[str, str]], Any], Callable[[Instance, Any, float], None]]] = {
    "submit": (messages.Submit.parse, Instance.submit),
    "completed": (messages.Completed.parse, Instance.completed),
    "timeout_fired": (messages.TimerFired.parse, Instance.timer_fired),
    "abandoned": (messages.ClientLeft.parse, Instance.client_left),
    "ack_first": (messages.Answered.parse, Instance.answered),
    "neighbour_says": (messages.PeerMessage.parse, Instance.peer_message),
    "check_result": (messages.ProbeResult.parse, Instance.probe_result),
}


class Host:
    """Reads batches of events, calls the instances and writes their replies.

    State: the instances (each until its `halt`), the endpoint lists by name, and the replies, time and line
    number of the current batch.
    """

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self.source = source
        self.sink = sink
        self._instances: dict[str, Instance] = {}
        self._endpoint_lists: dict[str, list[EndpointEntry]] = {}
        self._reply_lines: list[str] = []
        self._now = 0.0
        self._line_number = 0

    def run(self) -> int:
        """Process batches until the input ends.

        Returns the exit code: 1 after a violation of the protocol, which is reported on standard error.
        """
        try:
            while self.run_batch():
                pass
        except WireError as error:
            print(f"line {self._line_number}: {error}", file=sys.stderr)
            return 1
        return 0

    def run_batch(self) -> bool:
        """Process one batch; return whether there was one.

        Raises `WireError`.
        """
        line = self._read_line()
        if line is None:
            return False
        self._start_batch(line.split("\t"))
        while (line := self._expect_line("a batch")) != "go":
            self._handle(line)
        self._reply_lines.append("ok\n")
        self.sink.write("\n".join(self._reply_lines))
        self.sink.flush()
        self._reply_lines.clear()
        return True

    # -- input

    def _read_line(self) -> str | None:
        line = self.source.readline()
        self._line_number += 1
        if not line:
            return None
        if not line.endswith("\n"):
            raise WireError("input ends within a line")
        return line.rstrip("\r\n")

    def _expect_line(self, within: str) -> str:
        line = self._read_line()
        if line is None:
            raise WireError(f"input ends within {within}")
        return line

    def _start_batch(self, parts: list[str]) -> None:
        if parts[0] != "frame":
            raise WireError(f"a batch begins with 'frame', not {parts[0]!r}")
        try:
            self._now = wire.parse_seconds(wire.parse_fields(parts)["atTimeUs"])
        except (KeyError, ValueError) as error:
            raise WireError(f"frame: missing or malformed {error}") from None

    def _handle(self, line: str) -> None:
        parts = line.split("\t")
        name = parts[0]
        try:
            if name in EVENTS:
                self._handle_event(parts)
            elif name == "hello":
                self._add_instance(line)
            elif name == "list":
                self._read_endpoint_list(wire.parse_fields(parts))
            elif name == "fleet":
                self._deliver_endpoint_list(wire.parse_fields(parts))
            elif name == "halt":
                self._instances.pop(wire.parse_fields(parts)["i"], None)
            else:
                raise WireError(f"unknown message {name!r}")
        except KeyError as error:
            raise WireError(f"{name}: missing or unknown {error}") from None
        except ValueError as error:
            raise WireError(f"{name}: {error}") from None

    # -- messages

    def _handle_event(self, parts: list[str]) -> None:
        fields = wire.parse_fields(parts)
        instance = self._instances.get(fields["i"])
        if instance is not None:
            parse, handler = EVENTS[parts[0]]
            message = parse(fields)
            self._call_instance(instance, lambda: handler(instance, message, self._now))

    def _add_instance(self, line: str) -> None:
        # The settings extend to the end of the line, whatever characters they contain.
        head, separator, info = line.partition("\tinfo=")
        if not separator:
            raise WireError("hello: missing 'info'")
        fields = wire.parse_fields(head.split("\t"))
        fields["info"] = info
        number = fields["i"]
        int(number)
        self._instances[number] = Instance(number, fields, self._now, self._reply_lines)

    def _read_endpoint_list(self, fields: dict[str, str]) -> None:
        entries = []
        for _ in range(int(fields["members"])):
            parts = self._expect_line("a list").split("\t")
            if parts[0] != "row":
                raise WireError(f"a list holds 'row' lines, not {parts[0]!r}")
            entries.append(wire.parse_endpoint_entry(wire.parse_fields(parts)))
        self._endpoint_lists[fields["list"]] = entries

    def _deliver_endpoint_list(self, fields: dict[str, str]) -> None:
        form = fields["form"]
        entries = [] if form == POLL_FAILED else self._endpoint_lists[fields["list"]]
        instance = self._instances.get(fields["i"])
        if instance is not None:
            self._call_instance(instance, lambda: instance.endpoint_list(form, entries, self._now))

    def _call_instance(self, instance: Instance, call: Callable[[], None]) -> None:
        """Call an instance. An error raised by the routing decisions is reported; other instances go on."""
        try:
            call()
            if instance.router.log:
                instance.flush_log()
        except Exception as error:
            if not _is_raised_in_routing(error):
                raise
            traceback.print_exc(file=sys.stderr)
            self._reply_lines.append(replies.fault(instance.number, error))


def _is_raised_in_routing(error: Exception) -> bool:
    """Return whether an error was raised in, or passed through, a module of `gaugehinge.routing`."""
    trace = error.__traceback__
    while trace is not None:
        module = trace.tb_frame.f_globals.get("__name__", "")
        if module.startswith(f"{routing.__name__}."):
            return True
        trace = trace.tb_next
    return False
