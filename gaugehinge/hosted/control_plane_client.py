"""Calls of the control plane: a report goes out, a feed comes back."""

from __future__ import annotations

from collections.abc import Callable

import httpx
import msgspec
import trio

from ..tenancy.feed import Feed, Report
from ..tenancy.request_id import REQUEST_ID_HEADER, ResponseMatcher, new_request_id
from .errors import ControlPlaneError, FeedError

FEED_PATH = "/v1/feed"
CONNECT_TIMEOUT = 2.0  # seconds
MAX_FEED_BYTES = 16 << 20  # bytes


class ControlPlaneClient:
    """Calls with the router's secret, one at a time."""

    def __init__(self, http: httpx.AsyncClient, read_secret: Callable[[], str] | None = None) -> None:
        """`http`: with the address and the secret; `read_secret`: reads the secret once more."""
        self.http = http
        self.read_secret = read_secret
        self._matcher = ResponseMatcher()

    async def fetch_feed(self, report: Report, slack: float) -> Feed:
        """Send a report and return the feed that answers it.

        The call fails `slack` seconds after the time for which the report lets it stand open. Raises
        httpx.HTTPError, msgspec.MsgspecError, FeedError, SecretFileError and ControlPlaneError.
        """
        with trio.move_on_after(CONNECT_TIMEOUT + report.max_wait + slack):
            answer = await self._post(msgspec.json.encode(report))
            if answer.status_code == httpx.codes.UNAUTHORIZED and self.read_secret is not None:
                # A control plane whose disk was lost has none of the secrets. Routers that read theirs at the
                # start alone would all have to be restarted for a new one, and none be let leave in turn.
                self.http.headers["Authorization"] = f"Bearer {self.read_secret()}"
            if answer.status_code != httpx.codes.OK:
                raise ControlPlaneError(f"status {answer.status_code}")
            if len(answer.content) > MAX_FEED_BYTES:
                raise FeedError("too long")
            return msgspec.json.decode(answer.content, type=Feed)
        raise ControlPlaneError("no answer in time")

    async def _post(self, body: bytes) -> httpx.Response:
        """Send a report and read the response to it.

        Raises httpx.HTTPError, and FeedError for the response to another call: its body stays unread, and so
        the connection ends.
        """
        request_id = new_request_id()
        headers = self._matcher.headers(request_id)
        async with self.http.stream("POST", FEED_PATH, content=body, headers=headers) as response:
            if not self._matcher.matches(request_id, response.headers.get(REQUEST_ID_HEADER)):
                raise FeedError("a response to another call")
            await response.aread()
        return response
