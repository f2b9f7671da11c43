"""Errors of the administration API: one class for each HTTP status that it answers with.

A handler raises one of these; `app.py` turns it into a problem document (RFC 9457). Status and title are
part of the API and do not change.
"""

from __future__ import annotations


class ApiError(Exception):
    """A call that cannot be carried out.

    Attributes:
        status: The HTTP status code.
        title: What kind of error it is, the same words for every error of the kind.
        detail: What is wrong with this call.
        field: The field of the request that is at fault; empty if none is.
        etag: The revision that the resource is at; 0 if the error does not tell one.
    """

    def __init__(self, status: int, title: str, detail: str = "", field: str = "", etag: int = 0) -> None:
        super().__init__(detail or title)
        self.status = status
        self.title = title
        self.detail = detail
        self.field = field
        self.etag = etag


class MalformedJsonError(ApiError):
    """The body of the request is not JSON."""

    def __init__(self, detail: str) -> None:
        super().__init__(400, "no JSON", detail)


class UnauthorizedError(ApiError):
    """The secret is missing or wrong; the same words whatever is wrong with it."""

    def __init__(self) -> None:
        super().__init__(401, "unauthorized", "no such secret")


class ForbiddenError(ApiError):
    """The secret is valid, but its role does not allow the call."""

    def __init__(self) -> None:
        super().__init__(403, "forbidden", "this secret does not allow that")


class NotFoundError(ApiError):
    """The resource does not exist."""

    def __init__(self, detail: str) -> None:
        super().__init__(404, "not found", detail)


class ResourceConflictError(ApiError):
    """The resource exists already, or its state does not allow the change."""

    def __init__(self, detail: str, field: str = "") -> None:
        super().__init__(409, "conflict", detail, field)


class GoneError(ApiError):
    """The audit log no longer has the changes that were asked for."""

    def __init__(self, detail: str) -> None:
        super().__init__(410, "gone", detail)


class PreconditionFailedError(ApiError):
    """The resource changed since the caller read it."""

    def __init__(self, detail: str, etag: int = 0) -> None:
        super().__init__(412, "precondition failed", detail, etag=etag)


class PayloadTooLargeError(ApiError):
    """The body of the request is too long."""

    def __init__(self, detail: str) -> None:
        super().__init__(413, "too large", detail)


class UnsupportedMediaTypeError(ApiError):
    """The body of the request is not declared as JSON."""

    def __init__(self, detail: str) -> None:
        super().__init__(415, "unsupported media type", detail)


class InvalidRequestError(ApiError):
    """The request is well formed, but a value in it is not allowed."""

    def __init__(self, detail: str, field: str = "") -> None:
        super().__init__(422, "invalid", detail, field)


class PreconditionRequiredError(ApiError):
    """The change has to name the revision that it is made for."""

    def __init__(self, detail: str, etag: int = 0) -> None:
        super().__init__(428, "precondition required", detail, etag=etag)


class TooManyAttemptsError(ApiError):
    """Too many wrong secrets came lately."""

    def __init__(self, detail: str) -> None:
        super().__init__(429, "too many tries", detail)


class BusyError(ApiError):
    """Other writers kept changing the same resource."""

    def __init__(self, detail: str) -> None:
        super().__init__(503, "busy", detail)
