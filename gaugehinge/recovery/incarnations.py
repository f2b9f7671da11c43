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

KEEP = 120.0  # seconds for which a life is remembered after its last answer
MOST_SPANS = 8  # of one server; the oldest goes first
SIGN_KEEP = 5.0  # seconds in which broken connections and failed connects belong to one event
SEVERAL = 2  # connections that broke in one instant, one of them with an operation on it: no lone reset
INSTANT = 0.1  # seconds


@dataclass(slots=True)
class Life:
    """One server's. As large as its open connections."""

    spans: list[tuple[float, float]] = field(default_factory=list)  # that were one life each, the newest last
    seen: dict[Hashable, tuple[float, float]] = field(default_factory=dict)  # by open connection: first, last

    def see(self, connection: Hashable, answered: float) -> None:
        """An open connection was answered last at that time."""
        since, last = self.seen.get(connection, (answered, -1.0))
        if last == answered:
            return
        self.seen[connection] = since, answered
        until, rest = answered, []
        for one, other in self.spans:
            if other < since or one > until:
                rest.append((one, other))
            else:
                since, until = min(since, one), max(until, other)
        rest.append((since, until))
        rest.sort(key=lambda span: span[1])
        self.spans = rest[-MOST_SPANS:]

    def forget(self, open_connections: set[Hashable], now: float) -> None:
        """Only these are open still."""
        if not self.seen.keys() <= open_connections:
            self.seen = {each: told for each, told in self.seen.items() if each in open_connections}
        if self.spans and self.spans[0][1] <= now - KEEP:
            self.spans = [span for span in self.spans if span[1] > now - KEEP]

    def covers(self, since: float, until: float) -> bool:
        """Whether the server is proved to have lived all that time."""
        return any(one <= since and until <= other for one, other in self.spans)


@dataclass(slots=True)
class Signs:
    """That a server may have begun anew, as one event. Empty most of the time."""

    at: float = 0.0  # of the last one
    broke: list[float] = field(default_factory=list)  # connections, when
    busy: bool = False  # one of these with an operation on it
    failed: int = 0  # connects


class Lives:
    """Of all servers. Follows the list."""

    def __init__(self) -> None:
        self.lives: dict[int, Life] = {}
        self.signs: dict[int, Signs] = {}  # one goes with the doubt that it raised
        self.up: set[int] = set()  # a connection has come up since the start, or since the last doubt
        self.doubted: set[int] = set()

    def follow(self, idents: Iterable[int]) -> None:
        """These are in the list."""
        named = set(idents)
        self.lives = {ident: life for ident, life in self.lives.items() if ident in named}
        self.signs = {ident: signs for ident, signs in self.signs.items() if ident in named}
        self.up &= named
        self.doubted &= named

    def see(
        self,
        ident: int,
        connections: Iterable[tuple[Hashable, float]],
        open_connections: set[Hashable],
        now: float,
    ) -> None:
        """Connections to a server that stand idle, and when each was answered last; all that are open."""
        life = self.lives.setdefault(ident, Life())
        for connection, answered in connections:
            life.see(connection, answered)
            self.up.add(ident)
        life.forget(open_connections, now)

    def covers(self, ident: int, since: float, until: float) -> bool:
        """Whether that server is proved to have lived from one time to another."""
        life = self.lives.get(ident)
        return life is not None and life.covers(since, until)

    def broke(self, ident: int, busy: bool, standing: bool, now: float) -> bool:
        """The other end ended a connection. `busy`: with an operation on it; `standing`: another connection
        that had come up stands. Whether the server's memory is in doubt from now on."""
        signs = self._signs(ident, now)
        signs.broke = [at for at in signs.broke if at > now - INSTANT] + [now]
        signs.busy = signs.busy or busy
        self.up.add(ident)
        return self._judge(ident, standing)

    def failed(self, ident: int, standing: bool, lived: bool, now: float) -> bool:
        """A connection did not come up. The same. `lived`: the fleet lived through this router's start. What
        was never up in this run has lost nothing in it, and what is down loses nothing more."""
        if not standing and ident not in self.up and (ident in self.doubted or not lived):
            return False
        self._signs(ident, now).failed += 1
        return self._judge(ident, standing)

    def _signs(self, ident: int, now: float) -> Signs:
        signs = self.signs.get(ident)
        if signs is None or signs.at < now - SIGN_KEEP:
            signs = self.signs[ident] = Signs()
        signs.at = now
        return signs

    def _judge(self, ident: int, standing: bool) -> bool:
        """A connection that stands proves nothing yet, but is asked first: where it broke too, that is a
        sign."""
        signs = self.signs[ident]
        if standing or not (signs.failed or (signs.busy and len(signs.broke) >= SEVERAL)):
            return False
        del self.signs[ident]
        self.up.discard(ident)
        self.doubted.add(ident)
        return True
