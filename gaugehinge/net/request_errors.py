"""Errors of client requests. Their texts are sent to the client: the wording is part of the protocol."""

from __future__ import annotations

from .resp import Malformed


class RequestError(Exception):
    """A request that cannot be served. Its text follows `-ERR ` in the reply; the connection goes on."""

    text = ""

    def __init__(self, text: str = "") -> None:
        """`text` stands in place of the class's own."""
        super().__init__(text or self.text)


class WrongArgumentCountError(RequestError):
    """The command has fewer or more arguments than its form asks for."""

    text = "wrong number of arguments"


class UnprintableTextError(RequestError):
    """The request ID or the labels hold bytes that may not stand in an HTTP header."""

    text = "id and labels must be plain text"


class MalformedLabelsError(RequestError):
    """The labels are not a list of `name=value` with each name once."""

    text = "labels are names and values"


class InvalidLabelError(RequestError):
    """One label is missing or has a value that cannot be used."""

    def __init__(self, label: str, problem: str) -> None:
        """`label` is its name on the wire, `problem` says what is wrong with it."""
        super().__init__(f"label {label}: {problem}")


class RequestIdInUseError(RequestError):
    """Another request of the same ID is in flight or was answered a moment ago."""

    text = "id in use"


class MalformedCommandError(Malformed):
    """A whole RESP value that is no command. The connection cannot go on."""

    def __init__(self) -> None:
        """Its text is sent to the client, as that of any malformed message."""
        super().__init__("a command is an array of bulk strings")
