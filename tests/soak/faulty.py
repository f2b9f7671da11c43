"""`python -m tests.soak.faulty NAME`: the router with one fault, which the soak has to find."""

from __future__ import annotations

import sys

from gaugehinge.__main__ import main
from gaugehinge.net import connection_pool, idle_reaper, origin_codec
from gaugehinge.net.client_server import ClientServer
from gaugehinge.net.connection_pool import ConnectionPool
from gaugehinge.net.graceful_shutdown import GracefulShutdown
from gaugehinge.net.reply_writer import ReplyWriter
from gaugehinge.net.response_memory import ResponseMemory
from gaugehinge.net.service import Service
from tests import test_crossings_generated as crossings


class Patcher:
    """Sets attributes for good, in place of pytest's own."""

    def setattr(self, owner, name, value) -> None:
        setattr(owner, name, value)


def leaks_descriptors(patch) -> None:
    """Sockets of closed connections to servers stay open."""
    kept = []
    shut = connection_pool.shut

    def keep(sock):
        kept.append(sock.dup())
        shut(sock)

    patch.setattr(connection_pool, "shut", keep)


def leaks_memory(patch) -> None:
    """Each reply is kept."""
    kept = []
    write = ReplyWriter._write

    def keep(self, client, answer):
        kept.append(bytes(64 * 1024) + answer)
        return write(self, client, answer)

    patch.setattr(ReplyWriter, "_write", keep)


def slow_answers(patch) -> None:
    """Attempts end half a second after their time."""
    timeout = ConnectionPool._on_timeout

    def late(self, pending):
        self.timers.call_at(self.clock() + 0.6, timeout, self, pending)

    patch.setattr(ConnectionPool, "_on_timeout", late)
    patch.setattr(crossings.Dispatcher, "_on_overdue", lambda self, handle: None)


def copies_of_the_origin(patch) -> None:
    """No response of the origin is known as a copy, and any leaves its connection open."""
    patch.setattr(ResponseMemory, "add", lambda self, response: None)
    patch.setattr(connection_pool, "silent", lambda sock: True)


def never_ready(patch) -> None:
    """It takes 11 s to start."""

    async def late(self):
        await connection_pool.trio.sleep(11.0)
        await serve(self)

    serve = Service.run
    patch.setattr(Service, "run", late)


def stuck_clients_stay(patch) -> None:
    """A client that stops in the middle of a request is left alone."""
    patch.setattr(idle_reaper, "REQUEST_READ_TIMEOUT", 1e9)
    patch.setattr(idle_reaper, "IDLE_TIMEOUT", 1e9)


def dies_of_hangup(patch) -> None:
    """A second SIGHUP ends it."""
    calls = []
    reload = Service.reload

    def fragile(self):
        calls.append(1)
        if len(calls) > 1:
            raise RuntimeError("a second SIGHUP")
        reload(self)

    patch.setattr(Service, "reload", fragile)


def leaves_at_once(patch) -> None:
    """SIGTERM closes all connections at once."""

    async def cut(self, accepting):
        accepting.cancel()
        self._close_remaining()

    patch.setattr(GracefulShutdown, "run", cut)


def hangs_at_the_end(patch) -> None:
    """At the end it neither answers nor closes."""

    async def hang(self, accepting):
        await connection_pool.trio.sleep(60.0)

    patch.setattr(GracefulShutdown, "run", hang)


OWN = (
    leaks_descriptors,
    leaks_memory,
    slow_answers,
    copies_of_the_origin,
    never_ready,
    stuck_clients_stay,
    dies_of_hangup,
    leaves_at_once,
    hangs_at_the_end,
)
SHARED = (
    crossings.answer_twice,
    crossings.no_forfeit,
    crossings.copies_kept,
    crossings.written_forgotten,
    crossings.always_dropped,
    crossings.presence_unread,
    crossings.drains_unheard,
    crossings.close_untold,
    crossings.raises,
)
FAULTS = {each.__name__: each for each in (*OWN, *SHARED)}


if __name__ == "__main__":
    FAULTS[sys.argv[1]](Patcher())
    assert origin_codec.ResponseMemory is ResponseMemory and ClientServer is crossings.ClientServer
    sys.exit(main())
