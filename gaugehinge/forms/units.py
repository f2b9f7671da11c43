"""Figures with their units in them: `"1.5s"`, `"64MiB"`, `"500/s"`."""

from __future__ import annotations

import re
from typing import Any, TypeVar

import msgspec

T = TypeVar("T")

TIMES = {"us": 1e-6, "ms": 1e-3, "s": 1.0, "min": 60.0, "h": 3600.0}
SIZES = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
FIGURE = re.compile(r"(\d+(?:\.\d+)?) ?([A-Za-z/]+)")
MOST_TIME = 7 * 24 * 3600.0  # nothing here lasts longer than a week


class Seconds(float):
    """A time, written with its unit."""

    def plain(self) -> float:
        return float(self)

    def text(self) -> str:
        return f"{float(self):.6f}".rstrip("0").rstrip(".") + "s"


class Size(int):
    """Bytes, written with their unit."""

    def plain(self) -> int:
        return int(self)

    def text(self) -> str:
        for name in ("GiB", "MiB", "KiB"):
            if self and self % SIZES[name] == 0:
                return f"{int(self) // SIZES[name]}{name}"
        return f"{int(self)}B"


class Rate(float):
    """A number each second, written as `"500/s"`."""

    def plain(self) -> float:
        return float(self)

    def text(self) -> str:
        return f"{float(self):.6f}".rstrip("0").rstrip(".") + "/s"


def _split(told: Any, units: dict[str, Any], example: str) -> tuple[float, Any]:
    found = FIGURE.fullmatch(told) if isinstance(told, str) else None
    if found is None or found[2] not in units:
        raise ValueError(f"wants a figure and one of {', '.join(units)}, as in {example!r}")
    return float(found[1]), units[found[2]]


def seconds(told: Any) -> Seconds:
    """`"1.5s"` to 1.5. Raises ValueError."""
    figure, unit = _split(told, TIMES, "1.5s")
    if figure * unit > MOST_TIME:
        raise ValueError("longer than a week")
    return Seconds(figure * unit)


def size(told: Any) -> Size:
    """`"64MiB"` to bytes. Raises ValueError."""
    figure, unit = _split(told, SIZES, "64MiB")
    return Size(int(figure * unit))


def rate(told: Any) -> Rate:
    """`"500/s"` to 500.0. Raises ValueError."""
    figure, _ = _split(told, {"/s": 1.0}, "500/s")
    return Rate(figure)


UNITS = {Seconds: seconds, Size: size, Rate: rate}
PATTERNS = {
    Seconds: ("a time", r"^\d+(\.\d+)? ?(us|ms|s|min|h)$", "1.5s"),
    Size: ("a size", r"^\d+(\.\d+)? ?(B|KiB|MiB|GiB)$", "64MiB"),
    Rate: ("a rate", r"^\d+(\.\d+)? ?/s$", "500/s"),
}


def read_unit(kind: type, told: Any) -> Any:
    """msgspec's hook for the types above."""
    if kind not in UNITS:
        raise TypeError(f"no figure with a unit: {kind}")
    return UNITS[kind](told)


def unit_schema(kind: type) -> dict[str, Any]:
    """The JSON Schema of one of the types above."""
    if kind not in PATTERNS:
        raise TypeError(f"no figure with a unit: {kind}")
    what, pattern, example = PATTERNS[kind]
    return {"type": "string", "description": what, "pattern": pattern, "examples": [example]}


def default(value: T) -> T:
    """A field's default that JSON has no word for: the schema leaves it out, the reference page shows it."""
    return msgspec.field(default_factory=lambda: value)
