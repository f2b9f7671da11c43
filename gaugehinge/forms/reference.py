"""Schema and reference pages, made from the structs."""

from __future__ import annotations

import typing
from typing import Any

import msgspec

from .units import PATTERNS, unit_schema


def schema(form: type) -> dict[str, Any]:
    """The JSON Schema of a file's form."""
    return msgspec.json.schema(form, schema_hook=unit_schema)


def _inner(kind: Any) -> tuple[type | None, str]:
    """The struct that a field holds, if it does, and how the field's type is called."""
    if typing.get_origin(kind) is typing.Annotated:
        return _inner(typing.get_args(kind)[0])
    if kind in PATTERNS:
        return None, f'{PATTERNS[kind][0]}, `"{PATTERNS[kind][2]}"`'
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return kind, "table"
    origin, inner = typing.get_origin(kind), typing.get_args(kind)
    if origin is tuple:
        struct, name = _inner(inner[0])
        return struct, "tables" if struct else f"list of {name}"
    if origin is typing.Literal:
        return None, " or ".join(f"`{each}`" for each in inner)
    if origin is dict:
        struct, name = _inner(inner[1])
        return struct, f"table of {name}"
    names = {str: "text", int: "whole number", float: "number", bool: "`true` or `false`"}
    if kind in names:
        return None, names[kind]
    return None, " or ".join(_inner(each)[1] for each in inner if each is not type(None))


def _bounds(kind: Any) -> tuple[str, str]:
    if typing.get_origin(kind) is not typing.Annotated:
        return "", ""
    words, bounds = "", []
    for meta in typing.get_args(kind)[1:]:
        words = meta.description or words
        for sign, value in ((">=", meta.ge), (">", meta.gt), ("<=", meta.le), ("<", meta.lt)):
            if value is not None:
                bounds.append(f"{sign} {value:g}")
    return words, ", ".join(bounds)


def _default(field: Any) -> str:
    if field.required:
        return "needed"
    value = field.default if field.default is not msgspec.NODEFAULT else field.default_factory()
    if isinstance(value, msgspec.Struct) or value in ((), {}, None):
        return ""
    if isinstance(value, tuple):
        return ", ".join(f"`{each}`" for each in value if not isinstance(each, msgspec.Struct))
    if type(value) in PATTERNS:
        return f"`{value.text()}`"
    return f"`{str(value).lower() if isinstance(value, bool) else value}`"


def page(title: str, intro: str, form: type) -> str:
    """A page of Markdown with a table for each struct, in the order in which they are met."""
    lines = [f"# {title}", "", intro, ""]
    waiting: list[tuple[str, type, str]] = [("", form, "")]
    while waiting:
        path, struct, kind = waiting.pop(0)
        head = f"[[{path}]]" if kind == "tables" else f"[{path}]" if path else "At the top"
        lines += [
            f"## {head}",
            "",
            (struct.__doc__ or "").strip(),
            "",
            "| field | type | default | bounds | meaning |",
            "| --- | --- | --- | --- | --- |",
        ]
        hints = typing.get_type_hints(struct, include_extras=True)
        for field in msgspec.structs.fields(struct):
            inner, name = _inner(hints[field.name])
            words, bounds = _bounds(hints[field.name])
            if inner is not None:
                words = words or (inner.__doc__ or "").strip()
                waiting.append((f"{path}.{field.name}".lstrip("."), inner, name))
            lines.append(f"| `{field.encode_name}` | {name} | {_default(field)} | {bounds} | {words} |")
        lines.append("")
    return "\n".join(lines)
