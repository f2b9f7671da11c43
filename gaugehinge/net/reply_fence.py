"""Distinguishes the reply to the last request on a reused connection from late duplicates. Does no I/O.

RESP replies carry no ID, and a server may send a second copy of an earlier reply at any time. A fence, which
is a command with a known reply, shows which reply belongs to the request: servers answer in order, so exactly
one reply has to precede that to the fence. If two different ones do, it cannot be decided which of them is
the request's.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

from .codec import MalformedReply

Reply = TypeVar("Reply")


class ReplyFence(Generic[Reply]):
    """The fence of one connection, written after a request or once the reply to it is doubtful."""

    def __init__(
        self, command: bytes, is_fence_reply: Callable[[Reply], bool], raw_bytes: Callable[[Reply], bytes]
    ) -> None:
        """Create an unarmed fence. `command`: its bytes. `raw_bytes` returns a reply as it was received."""
        self._command = command
        self._is_fence_reply = is_fence_reply
        self._raw_bytes = raw_bytes
        self._has_carried_request = False
        self._reply: Reply | None = None
        self.is_armed = False  # whether the reply to the fence is outstanding

    def arm(self) -> bytes:
        """Return the bytes to write after the next request; b"" after the connection's first one."""
        self.is_armed = self._has_carried_request
        self._has_carried_request = True
        self._reply = None
        return self._command if self.is_armed else b""

    def hold(self, reply: Reply) -> bytes:
        """Hold a doubtful reply until the fence shows whose reply it is; returns the bytes to write now."""
        self.is_armed = True
        self._reply = reply
        return self._command

    def accept(self, message: Reply) -> Reply | None:
        """Process a complete message; returns the request's reply once it is certain, None until then.

        Of two byte-identical replies either is correct. The connection must not carry another request then,
        which callers see by `is_armed` still being set.

        Raises:
            MalformedReply: no reply, or two different ones, preceded the reply to the fence.
        """
        if not self.is_armed:
            return message
        if self._is_fence_reply(message):
            if self._reply is None:
                raise MalformedReply("no reply before the one to the fence")
            self.is_armed = False
            reply, self._reply = self._reply, None  # an idle connection would keep a long reply in memory
            return reply
        if self._reply is None:
            self._reply = message
            return None
        if self._raw_bytes(message) != self._raw_bytes(self._reply):
            raise MalformedReply("two replies to one request")
        return self._reply
