"""The commands of cluster clients: what each is to the decisions, and where its keys stand. No I/O."""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass

from .resp3 import Status, command
from .slots import slot_of

NUMBER = re.compile(rb":\d+\r\n")
MOST_KEYS = 256  # of one command: each is an operation of its own


class Refused(Exception):
    """A command that cannot be taken; the text is the whole error line."""


@dataclass(slots=True, frozen=True)
class Entry:
    """One command."""

    name: bytes  # upper case
    row: int  # of its traffic type
    write: bool
    abandon: float  # seconds until its client gives up
    keys: str  # `first`, `all`, or `pairs` of key and value
    joined: str  # how the answers of its keys become one: `one`, `list`, `sum`, `ok`
    least: int  # words behind the name
    most: int

    @property
    def arity(self) -> int:
        """As `COMMAND` tells it: with the name; negative where more may follow."""
        return self.least + 1 if self.least == self.most else -(self.least + 1)


@dataclass(slots=True, frozen=True)
class Piece:
    """One key's part of a command."""

    key: bytes
    words: bytes  # the command for it alone
    value: bytes | None = None


def _arguments(entry: Entry) -> Refused:
    return Refused(f"ERR wrong number of arguments for '{entry.name.decode().lower()}' command")


def split(entry: Entry, words: Sequence[bytes]) -> list[Piece]:
    """A command by its keys, all of one slot. Raises Refused."""
    count = len(words) - 1
    if not entry.least <= count <= entry.most:
        raise _arguments(entry)
    if entry.keys == "first":
        value = words[2] if entry.write and count >= 2 else None
        return [Piece(words[1], command(*words), value)]
    if entry.keys == "pairs":
        if count % 2:
            raise _arguments(entry)
        pieces = [
            Piece(words[i], command(b"SET", words[i], words[i + 1]), words[i + 1]) for i in range(1, count, 2)
        ]
    else:
        single = b"GET" if entry.joined == "list" else entry.name
        pieces = [Piece(key, command(single, key)) for key in words[1:]]
    if entry.write:  # a key named twice is written once, with what stands last
        pieces = list({piece.key: piece for piece in pieces}.values())
    if len(pieces) > MOST_KEYS:
        raise Refused(f"ERR over {MOST_KEYS} keys in one command")
    if len({slot_of(piece.key) for piece in pieces}) > 1:
        raise Refused("CROSSSLOT Keys in request don't hash to the same slot")
    return pieces


def dressed(entry: Entry, words: Sequence[bytes], pieces: Sequence[Piece], space: bytes) -> list[Piece]:
    """The pieces of a command with `space` before each key: a tenant's own. What the client's keys had in
    braces still says their slot."""
    if entry.keys == "first":
        own = space + pieces[0].key
        return [Piece(own, command(words[0], own, *words[2:]), pieces[0].value)]
    found = []
    for piece in pieces:
        own = space + piece.key
        single = b"SET" if entry.keys == "pairs" else b"GET" if entry.joined == "list" else entry.name
        rest = [piece.value] if entry.keys == "pairs" else []
        found.append(Piece(own, command(single, own, *rest), piece.value))
    return found


def join(entry: Entry, answers: Sequence[bytes]) -> bytes:
    """The one answer of a command, from those of its keys as they came.

    Where some ran and some did not, a bounce would say that nothing ran: a write that is half done is
    forfeited. Reads have no effect: the first that could not be had is the answer.
    """
    if len(answers) == 1 and entry.joined in ("one", "sum", "ok"):
        return answers[0]
    failed = [answer for answer in answers if answer.startswith(b"-")]
    if failed:
        if entry.write and len(failed) < len(answers):
            return b"-ERR %d of %d keys were written\r\n" % (len(answers) - len(failed), len(answers))
        worst = [answer for answer in failed if not answer.startswith(b"-BUSY")]
        return worst[0] if worst else failed[0]
    if entry.joined == "list":
        return b"*%d\r\n" % len(answers) + b"".join(answers)
    if entry.joined == "sum":
        if not all(NUMBER.fullmatch(answer) for answer in answers):
            return b"-ERR an answer that is no number\r\n"
        return b":%d\r\n" % sum(int(answer[1:-2]) for answer in answers)
    return b"+OK\r\n"


def table_answer(entries: Sequence[Entry], names: Sequence[bytes] | None = None) -> list:
    """The answer to `COMMAND`, or `COMMAND INFO` for some names."""
    by_name = {entry.name: entry for entry in entries}
    wanted = [by_name.get(name.upper()) for name in names] if names is not None else list(entries)
    return [None if entry is None else _told(entry) for entry in wanted]


def _told(entry: Entry) -> list:
    flags = [Status(b"write" if entry.write else b"readonly"), Status(b"fast")]
    last, step = {"first": (1, 1), "all": (-1, 1), "pairs": (-1, 2)}[entry.keys]
    return [entry.name.lower(), entry.arity, flags, 1, last, step, [], [], [], []]


def keys_of(entry: Entry, words: Sequence[bytes]) -> list[bytes]:
    """The keys of a command, for `COMMAND GETKEYS`. Raises Refused."""
    if not entry.least <= len(words) - 1 <= entry.most:
        raise Refused("ERR Invalid number of arguments specified for command")
    if entry.keys == "first":
        return [words[1]]
    return list(words[1::2] if entry.keys == "pairs" else words[1:])
