"""Infers from connections which servers stayed alive and which may have restarted.

No I/O and no clock of its own.

An answer on a connection proves that the process at the other end has been alive since an earlier answer on
the same connection; two such spans that overlap belong to one incarnation. This is positive evidence and
needs no list of endpoints. A broken connection proves nothing: single resets and cut links are everyday
events. But if no connection is up any more and connecting fails too, a restarted server would look the same,
so whether it still remembers its idempotency keys is in doubt.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field

SPAN_RETENTION = 120.0  # seconds for which a span is remembered after its last answer
MAX_SPANS = 8  # per server; the oldest is dropped first
SIGN_WINDOW = 5.0  # seconds within which broken connections and failed connects belong to one event
# So many connections that break at once, one of them with an operation on it, are more than a single reset.
MIN_BROKEN_CONNECTIONS = 2
SIMULTANEOUS_WINDOW = 0.1  # seconds within which connections count as broken at once


@dataclass(slots=True)
class ServerIncarnations:
    """Spans in which one server was alive. Its size grows with the server's open connections."""

    spans: list[tuple[float, float]] = field(default_factory=list)  # each within one incarnation, newest last
    # First and last answer of each open connection.
    connection_spans: dict[Hashable, tuple[float, float]] = field(default_factory=dict)

    def record_answer(self, connection: Hashable, answered_at: float) -> None:
        """Records when an open connection last received an answer."""
        start, last_answer = self.connection_spans.get(connection, (answered_at, -1.0))
        if last_answer == answered_at:
            return
        self.connection_spans[connection] = start, answered_at
        end, separate = answered_at, []
        for span_start, span_end in self.spans:
            if span_end < start or span_start > end:
                separate.append((span_start, span_end))
            else:
                start, end = min(start, span_start), max(end, span_end)
        separate.append((start, end))
        separate.sort(key=lambda span: span[1])
        self.spans = separate[-MAX_SPANS:]

    def prune(self, open_connections: set[Hashable], now: float) -> None:
        """Forgets connections that are no longer open, and expired spans."""
        if not self.connection_spans.keys() <= open_connections:
            self.connection_spans = {
                connection: first_and_last
                for connection, first_and_last in self.connection_spans.items()
                if connection in open_connections
            }
        if self.spans and self.spans[0][1] <= now - SPAN_RETENTION:
            self.spans = [span for span in self.spans if span[1] > now - SPAN_RETENTION]

    def was_alive(self, start: float, end: float) -> bool:
        """Whether the server is proved to have been alive all that time, in one incarnation."""
        return any(span_start <= start and end <= span_end for span_start, span_end in self.spans)


@dataclass(slots=True)
class RestartSigns:
    """Signs of one event in which a server may have restarted. Empty most of the time."""

    last_at: float = 0.0  # when the last sign was seen
    broken_at: list[float] = field(default_factory=list)  # when connections broke
    broke_in_use: bool = False  # one of them had an operation on it
    failed_connects: int = 0


class IncarnationTracker:
    """The incarnations of all servers in the endpoint list."""

    def __init__(self) -> None:
        self.servers: dict[int, ServerIncarnations] = {}
        self.restart_signs: dict[int, RestartSigns] = {}  # removed once they have raised a suspicion
        self.connected: set[int] = set()  # a connection came up since the start or the last suspicion
        self.suspected: set[int] = set()

    def retain(self, idents: Iterable[int]) -> None:
        """Forgets servers that are no longer in the list."""
        listed = set(idents)
        self.servers = {ident: server for ident, server in self.servers.items() if ident in listed}
        self.restart_signs = {ident: signs for ident, signs in self.restart_signs.items() if ident in listed}
        self.connected &= listed
        self.suspected &= listed

    def record_connections(
        self,
        ident: int,
        connections: Iterable[tuple[Hashable, float]],
        open_connections: set[Hashable],
        now: float,
    ) -> None:
        """Records a server's idle connections with the time of their last answer, and all that are open."""
        server = self.servers.setdefault(ident, ServerIncarnations())
        for connection, answered_at in connections:
            server.record_answer(connection, answered_at)
            self.connected.add(ident)
        server.prune(open_connections, now)

    def was_alive(self, ident: int, start: float, end: float) -> bool:
        """Whether that server is proved to have been alive from `start` to `end`, in one incarnation."""
        server = self.servers.get(ident)
        return server is not None and server.was_alive(start, end)

    def connection_broke(self, ident: int, broke_in_use: bool, other_connection_up: bool, now: float) -> bool:
        """Records that the server closed a connection. Returns whether the server may have lost its memory.

        `broke_in_use`: an operation was on the connection; `other_connection_up`: another established
        connection to the server is still open.
        """
        signs = self._current_signs(ident, now)
        signs.broken_at = [at for at in signs.broken_at if at > now - SIMULTANEOUS_WINDOW] + [now]
        signs.broke_in_use = signs.broke_in_use or broke_in_use
        self.connected.add(ident)
        return self._check_signs(ident, other_connection_up)

    def connect_failed(self, ident: int, other_connection_up: bool, fleet_survived: bool, now: float) -> bool:
        """Records a failed connection attempt. Returns whether the server may have lost its memory.

        `fleet_survived`: part of the fleet was running throughout this router's restart. If not, a server to
        which no connection came up in this run has lost nothing during it. A server that is suspected already
        and still down loses nothing more.
        """
        if (
            not other_connection_up
            and ident not in self.connected
            and (ident in self.suspected or not fleet_survived)
        ):
            return False
        self._current_signs(ident, now).failed_connects += 1
        return self._check_signs(ident, other_connection_up)

    def _current_signs(self, ident: int, now: float) -> RestartSigns:
        signs = self.restart_signs.get(ident)
        if signs is None or signs.last_at < now - SIGN_WINDOW:
            signs = self.restart_signs[ident] = RestartSigns()
        signs.last_at = now
        return signs

    def _check_signs(self, ident: int, other_connection_up: bool) -> bool:
        """Whether the signs suffice to suspect a restart.

        A connection that is still open proves nothing yet, but is tried first: if it breaks too, that is a
        sign.
        """
        signs = self.restart_signs[ident]
        if other_connection_up or not (
            signs.failed_connects or (signs.broke_in_use and len(signs.broken_at) >= MIN_BROKEN_CONNECTIONS)
        ):
            return False
        del self.restart_signs[ident]
        self.connected.discard(ident)
        self.suspected.add(ident)
        return True
