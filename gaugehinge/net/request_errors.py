"""Errors in client requests. Their texts are sent to the client, so their wording is part of the protocol."""

from __future__ import annotations

from .resp import NO_COMMAND, Malformed


class RequestError(Exception):
    """A request that cannot be served. Its text follows `-ERR ` in the reply; the connection stays open."""

    text = ""

    def __init__(self, text: str = "") -> None:
        """Create the error. `text` replaces the default text of the class."""
        super().__init__(text or self.text)


class WrongArgumentCountError(RequestError):
    """The command has too few or too many arguments."""

    text = "wrong number of arguments"


class UnprintableTextError(RequestError):
    """The request ID or the labels contain bytes that are not allowed in an HTTP header."""

    text = "id and labels must be plain text"


class MalformedLabelsError(RequestError):
    """The labels are not a list of `name=value` items with unique names."""

    text = "labels are names and values"


class InvalidLabelError(RequestError):
    """A label is missing or has an invalid value."""

    def __init__(self, label: str, problem: str) -> None:
        """Create the error. `label` is the label's name on the wire, `problem` says what is wrong with it."""
        super().__init__(f"label {label}: {problem}")


class RequestIdInUseError(RequestError):
    """Another request with the same ID is in flight or was until recently."""

    text = "id in use"


class MalformedCommandError(Malformed):
    """A complete RESP value that is not a command. The connection has to be closed."""

    def __init__(self) -> None:
        """Create the error. Its text is sent to the client, as for any malformed message."""
        super().__init__(NO_COMMAND)
