"""The shipped router with one fault against the standing test's terms, so that the checks are tried on
processes: `python -m gaugehinge.rehearsal.brokenterms MODE`, started as a platform starts a router.
"""

from __future__ import annotations

import runpy
import sys
from math import inf

from ..net import discovery_schedule
from ..net.client_connection import ClientConnection
from ..net.client_server import ClientServer
from ..net.codec import RequestPayload
from ..net.connection_registry import ConnectionRegistry
from ..net.discovery import DiscoveryClient
from ..net.dispatcher import NO_HANDLE, Dispatcher
from ..net.extensions import ReplyCallback
from ..net.poll_loop import PollLoop
from ..routing.types import Operation

ASLEEP = 5.0  # seconds
QUEUED = 1.0  # seconds that an operation stands in the queue
READS_ON = 0.06  # seconds after the end of a connection

FINDS = {"deaf": "clock", "sleeps": "clock", "unmoved": "clock", "stays": "gone", "reads_on": "crossed"}


def deaf() -> None:
    """It never begins a watch anew that fell silent."""
    PollLoop._overdue_at = lambda self, polls: inf


def sleeps() -> None:
    """After an outage it takes its time to ask its agent again."""
    discovery_schedule.AGENT_RETRY_DELAY = ASLEEP


def unmoved() -> None:
    """SIGHUP does not move it."""
    DiscoveryClient.move = lambda self, where: None


def stays() -> None:
    """It has a queue, and goes on with what clients asked that have gone."""
    right = Dispatcher.submit

    def submit(
        self: Dispatcher, operation: Operation, payload: RequestPayload, reply_callback: ReplyCallback
    ) -> int:
        self.timers.call_at(self.clock() + QUEUED, right, self, operation, payload, reply_callback)
        return NO_HANDLE

    Dispatcher.submit = submit
    Dispatcher.client_gone = lambda self, handle, on_released=None: None
    ClientServer.is_client_present = lambda self, client: True  # either of the two finds out


def reads_on() -> None:
    """It tells a client that no answer follows, and goes on reading commands for a moment."""

    def shut_down(self: ConnectionRegistry, client: ClientConnection) -> None:
        client.half_close()
        client.idle_since = inf  # not again
        self.timers.call_at(self.clock() + READS_ON, self.close_soon, client)

    ConnectionRegistry.shut_down = shut_down
    # Else most are found gone before they are sent on.
    ClientServer.is_client_present = lambda self, client: True


MODES = {each.__name__: each for each in (deaf, sleeps, unmoved, stays, reads_on)}

if __name__ == "__main__":
    MODES[sys.argv.pop(1)]()
    runpy.run_module("gaugehinge", run_name="__main__", alter_sys=True)
