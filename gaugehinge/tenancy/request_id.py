"""Numbers of the control plane's HTTP calls, which responses repeat. No I/O.

HTTP/1.1 says nothing in a response of the request that it answers: a copy of an earlier one, read behind the
next request, is taken for that one's. A response that repeats its request's number cannot be.
"""

from __future__ import annotations

import re
import secrets

REQUEST_ID_HEADER = "X-Request-Id"
RANDOM_BYTES = 12  # of a number: no other call of any client has the same
_VALID = re.compile(r"[A-Za-z0-9._-]{1,64}")


def new_request_id() -> str:
    """A number that no other call has."""
    return secrets.token_hex(RANDOM_BYTES)


def is_request_id(text: str) -> bool:
    """Whether a header may be repeated as it came."""
    return _VALID.fullmatch(text) is not None


class ResponseMatcher:
    """Tells one client which responses are another call's.

    While responses repeat the numbers of their calls, these may share a connection. A control plane of an
    earlier version repeats none: there each call has a connection of its own, where nothing follows its
    response.
    """

    __slots__ = ("_are_repeated",)

    def __init__(self) -> None:
        """No response has come yet."""
        self._are_repeated = False  # whether the last response had its call's number

    def headers(self, request_id: str) -> dict[str, str]:
        """What a call is sent with."""
        connection = {} if self._are_repeated else {"Connection": "close"}
        return {REQUEST_ID_HEADER: request_id, **connection}

    def matches(self, request_id: str, repeated: str | None) -> bool:
        """Whether a response may be the one to this call; `repeated`: its header, None without one.

        The connection of one that is not has to end, unread: the call's own response comes behind it.
        """
        if repeated is not None and repeated != request_id:
            return False
        self._are_repeated = repeated is not None
        return True
