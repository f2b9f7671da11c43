"""Checks over a whole history, after the fact. No I/O.

Each is a function of the events in the order of their times and of `Bounds`, and returns breaks; `ALL` names
them. A break says which operation, which parties, when, and the lines that show it. docs/histories.md says
what each promises and what it cannot see.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from . import lists, operations, registers, stores
from .breaks import Bounds, Break
from .events import AnyEvent
from .reading import Reading

Check = Callable[[Sequence[AnyEvent], Bounds], list[Break]]

ALL: dict[str, Check] = {
    "answers": operations.answers,
    "unanswered": operations.unanswered,
    "late": operations.late,
    "crossed": operations.crossed,
    "gone": operations.gone,
    "effects_by_mark": operations.effects_by_mark,
    "effects_by_id": operations.effects_by_id,
    "bounced_though_ran": operations.bounced_though_ran,
    "settled_without_effect": operations.settled_without_effect,
    "unasked": operations.unasked,
    "values": operations.values,
    "tenants": operations.tenants,
    "drains": stores.drains,
    "clock": lists.clock,
    "confined": stores.confined,
    "connections": stores.connections,
    "crashes": stores.crashes,
    "acknowledged": registers.acknowledged,
    "registers": registers.registers,
}


def check(history: Sequence[AnyEvent], bounds: Bounds) -> list[Break]:
    """Every check of `ALL` over one play, in the order of the breaks' times."""
    reading = Reading.of(history)
    found = [each for one in ALL.values() for each in one(reading, bounds)]
    return sorted(found, key=lambda each: each.began)


def undecided(history: Sequence[AnyEvent], bounds: Bounds) -> list[str]:
    """What a bounded search could not decide, one line each: no breaks."""
    return registers.undecided(history, bounds)


def looked_at(history: Sequence[AnyEvent], bounds: Bounds) -> dict[str, int]:
    """How many things each check had to look at. A check that saw nothing has shown nothing: plays state
    these, and assert that what they are about is not 0."""
    reading = Reading.of(history)
    ops = list(reading.ops.values())
    by_mark = sum(name.startswith("mark ") for _, name in reading.effects)
    settled = [op for op in ops if any(e.outcome == "settled" for e in reading.ends.get(op.ident, ()))]
    bounced = [op for op in ops if any(e.outcome == "bounced" for e in reading.ends.get(op.ident, ()))]
    limited = bounds.limits or {}
    found = registers.registers_of(reading, bounds)
    every = [end for ends in reading.ends.values() for end in ends]
    answered = sum(end.outcome not in operations.UNANSWERED for end in every)
    read = sum(not op.write for op in settled)
    writes = sum(s.act is registers.Act.WRITE and s.needed for each in found for s in each.steps)
    return {
        "answers": answered,
        "unanswered": len(ops),
        "late": answered,
        "crossed": sum(end.outcome == "crossed" for end in every),
        "gone": len(operations.left_waiting(reading, bounds)[0]),
        "effects_by_mark": by_mark,
        "effects_by_id": len(reading.effects) - by_mark,
        "bounced_though_ran": sum(op.effect == "unrepeatable" for op in bounced),
        "settled_without_effect": sum(op.write for op in settled) if reading.attempts else 0,
        "unasked": sum(attempt.effect for attempt in reading.attempts),
        "values": read,
        "tenants": read,
        "drains": sum(attempt.draining for attempt in reading.attempts),
        "clock": sum(1 for _ in lists.judged(reading)),
        "confined": stores.confined_attempts(reading, bounds),
        "connections": sum(event.store in limited for event in reading.connections),
        "crashes": sum(event.state == "started" for event in reading.processes),
        "acknowledged": writes,
        "registers": sum(step.needed for each in found for step in each.steps),
    }


__all__ = ["ALL", "Bounds", "Break", "Check", "check", "looked_at", "undecided"]
