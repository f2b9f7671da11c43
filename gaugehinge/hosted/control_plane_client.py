"""HTTP client of the control plane: sends a report and receives a feed."""

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
    """Makes calls with the router's secret, one at a time."""

    def __init__(self, http: httpx.AsyncClient, read_secret: Callable[[], str] | None = None) -> None:
        """`http`: set up with the address and the secret; `read_secret`: reads the secret again."""
        self.http = http
        self.read_secret = read_secret
        self._matcher = ResponseMatcher()

    async def fetch_feed(self, report: Report, slack: float) -> Feed:
        """Send a report and return the feed that answers it.

        The call fails `slack` seconds after the long-poll wait that the report allows. Raises
        httpx.HTTPError, msgspec.MsgspecError, FeedError, SecretFileError and ControlPlaneError.
        """
        with trio.move_on_after(CONNECT_TIMEOUT + report.max_wait + slack):
            answer = await self._post(msgspec.json.encode(report))
            if answer.status_code == httpx.codes.UNAUTHORIZED and self.read_secret is not None:
                # A control plane that lost its disk has lost all secrets, so routers need new ones. If they
                # read theirs only at the start, all would have to be restarted, and none would be allowed to
                # leave in turn.
                self.http.headers["Authorization"] = f"Bearer {self.read_secret()}"
            if answer.status_code != httpx.codes.OK:
                raise ControlPlaneError(f"status {answer.status_code}")
            if len(answer.content) > MAX_FEED_BYTES:
                raise FeedError("feed is too long")
            return msgspec.json.decode(answer.content, type=Feed)
        raise ControlPlaneError("no response in time")

    async def _post(self, body: bytes) -> httpx.Response:
        """Send a report and read the response to it.

        Raises httpx.HTTPError, and FeedError if the response belongs to another call: its body is left
        unread, which closes the connection.
        """
        request_id = new_request_id()
        headers = self._matcher.headers(request_id)
        async with self.http.stream("POST", FEED_PATH, content=body, headers=headers) as response:
            if not self._matcher.matches(request_id, response.headers.get(REQUEST_ID_HEADER)):
                raise FeedError("response belongs to another call")
            await response.aread()
        return response
