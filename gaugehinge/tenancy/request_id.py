"""Request ids of the control plane's HTTP calls, which responses echo. Does no I/O.

An HTTP/1.1 response does not say which request it answers: a duplicate of an earlier response, read after the
next request was sent, is taken for the response to that request. An echoed request id prevents this.
"""

from __future__ import annotations

import re
import secrets

REQUEST_ID_HEADER = "X-Request-Id"
RANDOM_BYTES = 12  # of a request id; enough that no other call of any client has the same
_VALID = re.compile(r"[A-Za-z0-9._-]{1,64}")


def new_request_id() -> str:
    """Return a request id that no other call has."""
    return secrets.token_hex(RANDOM_BYTES)


def is_request_id(text: str) -> bool:
    """Whether a header value is a valid request id, which may be echoed unchanged."""
    return _VALID.fullmatch(text) is not None


class ResponseMatcher:
    """Detects, for one client, responses that belong to another call.

    While responses echo the ids of their calls, calls may share a connection. A control plane of an earlier
    version echoes no id: each call to it gets a separate connection, on which nothing follows its response.
    """

    __slots__ = ("_ids_are_echoed",)

    def __init__(self) -> None:
        """Start in the state before the first response, in which calls share no connection."""
        self._ids_are_echoed = False  # whether the last response had its call's id

    def headers(self, request_id: str) -> dict[str, str]:
        """Return the HTTP headers to send with a call."""
        connection = {} if self._ids_are_echoed else {"Connection": "close"}
        return {REQUEST_ID_HEADER: request_id, **connection}

    def matches(self, request_id: str, echoed_id: str | None) -> bool:
        """Whether a response may belong to this call; `echoed_id`: the id in its header, None if it has none.

        If not, the caller has to close the connection without reading further: the response to its call
        comes after this one.
        """
        if echoed_id is not None and echoed_id != request_id:
            return False
        self._ids_are_echoed = echoed_id is not None
        return True
