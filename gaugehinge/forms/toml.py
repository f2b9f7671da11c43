"""TOML files to checked frozen structs; every complaint is one line with file and field."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from .units import read_unit

T = TypeVar("T")
MOST_FILE = 1 << 20  # bytes: a file of ours is some kilobytes
PATH = re.compile(r"^(.*?)(?: - at `(?:key in )?\$\.?(.*)`)?$", re.DOTALL)
UNKNOWN = re.compile(r"Object contains unknown field `(.*)`")
MISSING = re.compile(r"Object missing required field `(.*)`")


class BadFile(ValueError):
    """A file that makes no sense; the text is one line that names the file and the field."""

    def __init__(self, name: str, field: str, complaint: str) -> None:
        super().__init__(f"{name}: {field or 'the whole'}: {complaint}")
        self.field = field


class BadField(ValueError):
    """Raised by a struct's own checks; names the field below that struct."""

    def __init__(self, field: str, complaint: str) -> None:
        super().__init__(f"{complaint} @{field}")


def read(path: str | Path, form: type[T]) -> T:
    """Read a file. Raises BadFile."""
    path = Path(path)
    try:
        if path.stat().st_size > MOST_FILE:
            raise BadFile(str(path), "", "over a megabyte")
        data = path.read_bytes()
    except OSError as bad:
        raise BadFile(str(path), "", f"cannot be read: {type(bad).__name__}") from None
    return parse(data, form, str(path))


def parse(data: bytes, form: type[T], name: str = "file") -> T:
    """Bytes of a TOML file to a struct. Raises BadFile."""
    try:
        return msgspec.toml.decode(data, type=form, dec_hook=read_unit)
    except msgspec.ValidationError as bad:
        raise _complaint(name, str(bad)) from None
    except RecursionError:
        raise BadFile(name, "", "nested too deep") from None
    except ValueError as bad:  # not TOML, or not UTF-8
        raise BadFile(name, "", f"not TOML: {' '.join(str(bad).split())}") from None


def _complaint(name: str, told: str) -> BadFile:
    text, path = PATH.match(told).groups()
    path = path or ""
    for found, what in ((UNKNOWN.match(text), "no such field"), (MISSING.match(text), "missing")):
        if found:
            return BadFile(name, f"{path}.{found[1]}".lstrip("."), what)
    text, mark, inner = text.partition(" @")
    return BadFile(
        name, ".".join(part for part in (path, inner) if part) if mark else path, " ".join(text.split())
    )


def unique(field: str, names: list[str]) -> None:
    """No two entries of one name. Raises BadField."""
    seen: set[str] = set()
    for i, name in enumerate(names):
        if name in seen:
            raise BadField(f"{field}[{i}].name", f"a second entry of the name {name!r}")
        seen.add(name)


def least(field: str, value: float, bound: float) -> None:
    """At least so much. Raises BadField."""
    if value < bound:
        raise BadField(field, f"{value:g} is under {bound:g}")


def most(field: str, value: float, bound: float) -> None:
    """At most so much. Raises BadField."""
    if value > bound:
        raise BadField(field, f"{value:g} is over {bound:g}")


def above(field: str, value: float) -> None:
    """More than nothing. Raises BadField."""
    if not value > 0:
        raise BadField(field, "must be over 0")


def write(path: str | Path, told: Any) -> None:
    """A struct to a file, figures with their units."""
    Path(path).write_bytes(msgspec.toml.encode(told, enc_hook=lambda value: value.text()))
