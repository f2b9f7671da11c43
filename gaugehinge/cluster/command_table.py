"""The commands that cluster clients may use: their traffic types, keys and merging of replies. No I/O.

`words` is always a command as its list of bulk strings, the command name first.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass

from .resp3 import Status, command
from .slots import slot_of

INTEGER_REPLY = re.compile(rb":\d+\r\n")
MAX_KEYS = 256  # per command; each key becomes an operation of its own


class CommandError(Exception):
    """A command that is rejected; the message is the complete error line for the client, without its `-`."""


@dataclass(slots=True, frozen=True)
class CommandSpec:
    """How one command is routed and answered."""

    name: bytes  # upper case
    traffic_row: int  # row of its traffic type in the settings
    write: bool
    abandon_time: float  # seconds after which the client gives up
    key_pattern: str  # which arguments are keys: `first`, `all`, or `pairs` of key and value
    merge_rule: str  # how the replies for its keys are merged: `one`, `list`, `sum`, `ok`
    min_arguments: int  # without the command name
    max_arguments: int

    @property
    def arity(self) -> int:
        """The arity as `COMMAND` reports it: with the name, and negative if more arguments may follow."""
        return (
            self.min_arguments + 1 if self.min_arguments == self.max_arguments else -(self.min_arguments + 1)
        )


@dataclass(slots=True, frozen=True)
class KeyCommand:
    """The part of a command that concerns one key."""

    key: bytes
    encoded: bytes  # the command for this key alone, as RESP
    value: bytes | None = None


def _wrong_argument_count(spec: CommandSpec) -> CommandError:
    return CommandError(f"ERR wrong number of arguments for '{spec.name.decode().lower()}' command")


def split_by_key(spec: CommandSpec, words: Sequence[bytes]) -> list[KeyCommand]:
    """Split a command into one command for each of its keys.

    Raises:
        CommandError: the number of arguments is wrong, there are too many keys, or their slots differ.
    """
    count = len(words) - 1
    if not spec.min_arguments <= count <= spec.max_arguments:
        raise _wrong_argument_count(spec)
    if spec.key_pattern == "first":
        value = words[2] if spec.write and count >= 2 else None
        return [KeyCommand(words[1], command(*words), value)]
    if spec.key_pattern == "pairs":
        if count % 2:
            raise _wrong_argument_count(spec)
        key_commands = [
            KeyCommand(words[i], command(b"SET", words[i], words[i + 1]), words[i + 1])
            for i in range(1, count, 2)
        ]
    else:
        command_name = b"GET" if spec.merge_rule == "list" else spec.name
        key_commands = [KeyCommand(key, command(command_name, key)) for key in words[1:]]
    if spec.write:  # a key given twice is written once, with its last value
        key_commands = list({key_command.key: key_command for key_command in key_commands}.values())
    if len(key_commands) > MAX_KEYS:
        raise CommandError(f"ERR over {MAX_KEYS} keys in one command")
    if len({slot_of(key_command.key) for key_command in key_commands}) > 1:
        raise CommandError("CROSSSLOT Keys in request don't hash to the same slot")
    return key_commands


def add_key_prefix(
    spec: CommandSpec, words: Sequence[bytes], key_commands: Sequence[KeyCommand], key_prefix: bytes
) -> list[KeyCommand]:
    """Prepend `key_prefix`, the tenant's own, to the key of each key command.

    A hash tag in the client's key still determines the slot.
    """
    if spec.key_pattern == "first":
        prefixed_key = key_prefix + key_commands[0].key
        return [KeyCommand(prefixed_key, command(words[0], prefixed_key, *words[2:]), key_commands[0].value)]
    prefixed = []
    for key_command in key_commands:
        prefixed_key = key_prefix + key_command.key
        command_name = (
            b"SET" if spec.key_pattern == "pairs" else b"GET" if spec.merge_rule == "list" else spec.name
        )
        value_argument = [key_command.value] if spec.key_pattern == "pairs" else []
        prefixed.append(
            KeyCommand(prefixed_key, command(command_name, prefixed_key, *value_argument), key_command.value)
        )
    return prefixed


def merge_replies(spec: CommandSpec, replies: Sequence[bytes]) -> bytes:
    """Merge the replies for a command's keys, in the order of the keys, into the command's reply.

    A `BUSY` reply tells the client that nothing was executed. A write of which only some keys were written
    therefore gets an `ERR` instead, and counts as failed. In any other case with errors, such as reads, which
    have no effect, the reply is the first error, preferably one that is not `BUSY`.
    """
    if len(replies) == 1 and spec.merge_rule in ("one", "sum", "ok"):
        return replies[0]
    errors = [reply for reply in replies if reply.startswith(b"-")]
    if errors:
        if spec.write and len(errors) < len(replies):
            return b"-ERR %d of %d keys were written\r\n" % (len(replies) - len(errors), len(replies))
        not_busy = [reply for reply in errors if not reply.startswith(b"-BUSY")]
        return not_busy[0] if not_busy else errors[0]
    if spec.merge_rule == "list":
        return b"*%d\r\n" % len(replies) + b"".join(replies)
    if spec.merge_rule == "sum":
        if not all(INTEGER_REPLY.fullmatch(reply) for reply in replies):
            return b"-ERR an answer that is no number\r\n"
        return b":%d\r\n" % sum(int(reply[1:-2]) for reply in replies)
    return b"+OK\r\n"


def command_info_reply(specs: Sequence[CommandSpec], names: Sequence[bytes] | None = None) -> list:
    """The reply to `COMMAND`, or to `COMMAND INFO` if names are given."""
    by_name = {spec.name: spec for spec in specs}
    selected = [by_name.get(name.upper()) for name in names] if names is not None else list(specs)
    return [None if spec is None else _command_info(spec) for spec in selected]


def _command_info(spec: CommandSpec) -> list:
    flags = [Status(b"write" if spec.write else b"readonly"), Status(b"fast")]
    last, step = {"first": (1, 1), "all": (-1, 1), "pairs": (-1, 2)}[spec.key_pattern]
    return [spec.name.lower(), spec.arity, flags, 1, last, step, [], [], [], []]


def keys_of(spec: CommandSpec, words: Sequence[bytes]) -> list[bytes]:
    """The keys of a command, for `COMMAND GETKEYS`. Raises CommandError."""
    if not spec.min_arguments <= len(words) - 1 <= spec.max_arguments:
        raise CommandError("ERR Invalid number of arguments specified for command")
    if spec.key_pattern == "first":
        return [words[1]]
    return list(words[1::2] if spec.key_pattern == "pairs" else words[1:])
