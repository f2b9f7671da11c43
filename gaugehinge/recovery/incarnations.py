"""What connections to servers tell of these servers' lives. No I/O, no clock of its own.

An answer on a connection proves that the process at its other end has lived since an earlier answer on the
same connection; two such times that overlap are one life. That is positive, and no list has to know of it. Of
what broke off nothing is proved: a lone reset is a matter of every day, and so is a link that was cut. But
where no connection stands any more and connecting fails as well, a server that began anew looks the same, and
what it remembered is doubted.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field

SPAN_RETENTION = 120.0  # seconds for which a life is remembered after its last answer
MAX_SPANS = 8  # of one server; the oldest goes first
SIGN_WINDOW = 5.0  # seconds in which broken connections and failed connects belong to one event
MIN_BROKEN_CONNECTIONS = 2  # connections that broke in one instant, one of them with an operation on it: no lone reset
SIMULTANEOUS_WINDOW = 0.1  # seconds


@dataclass(slots=True)
class ServerIncarnations:
    """One server's. As large as its open connections."""

    spans: list[tuple[float, float]] = field(default_factory=list)  # that were one life each, the newest last
    connection_spans: dict[Hashable, tuple[float, float]] = field(default_factory=dict)  # by open connection: first, last

    def record_answer(self, connection: Hashable, answered_at: float) -> None:
        """An open connection was answered last at that time."""
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
        """Only these are open still."""
        if not self.connection_spans.keys() <= open_connections:
            self.connection_spans = {connection: span for connection, span in self.connection_spans.items() if connection in open_connections}
        if self.spans and self.spans[0][1] <= now - SPAN_RETENTION:
            self.spans = [span for span in self.spans if span[1] > now - SPAN_RETENTION]

    def was_alive(self, start: float, end: float) -> bool:
        """Whether the server is proved to have lived all that time."""
        return any(span_start <= start and end <= span_end for span_start, span_end in self.spans)


@dataclass(slots=True)
class RestartSigns:
    """That a server may have begun anew, as one event. Empty most of the time."""

    last_at: float = 0.0  # of the last one
    broken_at: list[float] = field(default_factory=list)  # connections, when
    broke_in_use: bool = False  # one of these with an operation on it
    failed_connects: int = 0  # connects


class IncarnationTracker:
    """Of all servers. Follows the list."""

    def __init__(self) -> None:
        self.servers: dict[int, ServerIncarnations] = {}
        self.restart_signs: dict[int, RestartSigns] = {}  # one goes with the doubt that it raised
        self.connected: set[int] = set()  # a connection has come up since the start, or since the last doubt
        self.suspected: set[int] = set()

    def retain(self, idents: Iterable[int]) -> None:
        """These are in the list."""
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
        """Connections to a server that stand idle, and when each was answered last; all that are open."""
        server = self.servers.setdefault(ident, ServerIncarnations())
        for connection, answered_at in connections:
            server.record_answer(connection, answered_at)
            self.connected.add(ident)
        server.prune(open_connections, now)

    def was_alive(self, ident: int, start: float, end: float) -> bool:
        """Whether that server is proved to have lived from one time to another."""
        server = self.servers.get(ident)
        return server is not None and server.was_alive(start, end)

    def connection_broke(self, ident: int, broke_in_use: bool, other_connection_up: bool, now: float) -> bool:
        """The other end ended a connection. `busy`: with an operation on it; `standing`: another connection
        that had come up stands. Whether the server's memory is in doubt from now on."""
        signs = self._current_signs(ident, now)
        signs.broken_at = [at for at in signs.broken_at if at > now - SIMULTANEOUS_WINDOW] + [now]
        signs.broke_in_use = signs.broke_in_use or broke_in_use
        self.connected.add(ident)
        return self._check_signs(ident, other_connection_up)

    def connect_failed(self, ident: int, other_connection_up: bool, fleet_survived: bool, now: float) -> bool:
        """A connection did not come up. The same. `lived`: the fleet lived through this router's start. What
        was never up in this run has lost nothing in it, and what is down loses nothing more."""
        if not other_connection_up and ident not in self.connected and (ident in self.suspected or not fleet_survived):
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
        """A connection that stands proves nothing yet, but is asked first: where it broke too, that is a
        sign."""
        signs = self.restart_signs[ident]
        if other_connection_up or not (signs.failed_connects or (signs.broke_in_use and len(signs.broken_at) >= MIN_BROKEN_CONNECTIONS)):
            return False
        del self.restart_signs[ident]
        self.connected.discard(ident)
        self.suspected.add(ident)
        return True
