"""A client of the administration API, for the command line."""

from __future__ import annotations

import secrets
from typing import Any, NamedTuple

import httpx

from ..tenancy.request_id import REQUEST_ID_HEADER, ResponseMatcher, new_request_id

TIMEOUT = 15.0  # seconds
MAX_ATTEMPTS = 3  # of a call whose connection failed; one that changes something carries a key or a revision
PAGE_SIZE = 500


class CallRejectedError(Exception):
    """The API answered with a problem; the text is one line, and begins with the field if one is at fault."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class ApiResponse(NamedTuple):
    """The response of a call."""

    body: Any  # decoded; None if there was none
    etag: str  # empty if there was none


class Client:
    """Calls the API with a secret.

    Its methods raise CallRejectedError if the API rejects a call, and httpx.TransportError if nobody answers.
    """

    def __init__(self, url: str, secret: str, transport: httpx.BaseTransport | None = None) -> None:
        """`transport`: in place of sockets, for tests."""
        self._matcher = ResponseMatcher()
        self._http = httpx.Client(
            base_url=url,
            timeout=TIMEOUT,
            headers={"Authorization": f"Bearer {secret}"},
            transport=transport,
        )

    def close(self) -> None:
        """Close its connections."""
        self._http.close()

    def call(self, method: str, path: str, body: Any = None, **headers: str) -> ApiResponse:
        """Make a call; it is retried on connection failures if that cannot carry it out twice."""
        response = self._request(method, path, body, headers)
        if not response.is_success:
            raise _rejection(response)
        decoded = response.json() if response.content else None
        return ApiResponse(decoded, response.headers.get("etag", ""))

    def _request(self, method: str, path: str, body: Any, headers: dict[str, str]) -> httpx.Response:
        may_retry = method == "GET" or bool(headers)
        for _ in range(MAX_ATTEMPTS - 1 if may_retry else 0):
            try:
                return self._send(method, path, body, headers)
            except httpx.TransportError:
                continue
        return self._send(method, path, body, headers)

    def _send(self, method: str, path: str, body: Any, headers: dict[str, str]) -> httpx.Response:
        """Make a call once. The connection of a response to another call ends with it."""
        request_id = new_request_id()
        numbered = {**headers, **self._matcher.headers(request_id)}
        with self._http.stream(method, path, json=body, headers=numbered) as response:
            if not self._matcher.matches(request_id, response.headers.get(REQUEST_ID_HEADER)):
                raise httpx.RemoteProtocolError("a response to another call")
            response.read()
        return response

    def create(self, path: str, body: Any) -> Any:
        """Create something by a call with an idempotency key of its own; its body."""
        return self.call("POST", path, body, **{"Idempotency-Key": secrets.token_hex(16)}).body

    def tenants(self) -> list[dict[str, Any]]:
        """All tenants."""
        found: list[dict[str, Any]] = []
        after: str | None = ""
        while after is not None:
            page = self.call("GET", f"/v1/tenants?limit={PAGE_SIZE}&after={after}").body
            found += page["tenants"]
            after = page["next"]
        return found

    def tenant(self, name: str) -> ApiResponse:
        """One tenant."""
        return self.call("GET", f"/v1/tenants/{name}")

    def change_tenant(self, method: str, name: str, suffix: str = "", body: Any = None) -> Any:
        """Change a tenant at the revision that it has now; the body of the response."""
        etag = self.tenant(name).etag
        return self.call(method, f"/v1/tenants/{name}{suffix}", body, **{"If-Match": etag}).body


def _rejection(response: httpx.Response) -> CallRejectedError:
    try:
        problem = response.json()
        text = f"{problem['title']}: {problem.get('detail', '')}".rstrip(": ")
        field = problem.get("field", "")
    except (ValueError, KeyError, TypeError):
        text, field = f"status {response.status_code}", ""
    return CallRejectedError(response.status_code, f"{field}: {text}" if field else text)
