"""The schedule of all first tries, drawn from the seed before the run. No I/O beyond reading a
record to replay."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from zlib import crc32

import numpy as np

from ..forms.record import all_rows
from .form import Job, Load, Sender, Surge

NEVER = -1.0  # in `hang`: its client stays
Array = np.ndarray


class Plan:
    """Arrays of one length, in the order of time: one place an operation."""

    def __init__(self, at: Array, tenant: Array, kind: Array, key: Array, fresh: Array, hang: Array) -> None:
        order = np.argsort(at, kind="stable")
        self.at, self.tenant, self.kind = at[order], tenant[order], kind[order]
        self.key, self.fresh, self.hang = key[order], fresh[order], hang[order]

    def __len__(self) -> int:
        return len(self.at)


def factor_at(sender: str, surges: Iterable[Surge], times: Array) -> Array:
    """How many times its rate a tenant sends, by time; overlapping surges multiply."""
    factor = np.ones(len(times))
    for surge in surges:
        if surge.tenant == sender:
            factor[(times >= surge.start) & (times < surge.start + surge.lasts)] *= surge.factor
    return factor


def arrivals(sender: Sender, surges: tuple[Surge, ...], lasts: float, draw: np.random.Generator) -> Array:
    """Poisson arrivals of one tenant, thinned from its highest rate."""
    if not sender.rate:
        return np.empty(0)
    edges = [0.0, *(s.start for s in surges), *(s.start + s.lasts for s in surges)]
    highest = float(sender.rate) * max(factor_at(sender.name, surges, np.array(sorted(edges))))
    times = np.sort(draw.uniform(0.0, lasts, draw.poisson(highest * lasts)))
    keep = draw.random(len(times)) * highest < float(sender.rate) * factor_at(sender.name, surges, times)
    return times[keep]


def zipf_keys(count: int, exponent: float, n: int, draw: np.random.Generator) -> Array:
    """Keys by rank, key 0 the most popular."""
    weights = np.cumsum(np.arange(1, count + 1, dtype=float) ** -exponent)
    return np.searchsorted(weights, draw.random(n) * weights[-1], side="right")


def _kinds(mix: dict[str, float], names: list[str], n: int, draw: np.random.Generator) -> Array:
    weights = np.array([mix.get(name, 0.0) if mix else 1.0 for name in names])
    return draw.choice(len(names), n, p=weights / weights.sum())


def _keys(load: Load, at: Array, draw: np.random.Generator) -> Array:
    keys = zipf_keys(load.keys, load.zipf, len(at), draw)
    for number, hot in enumerate(load.hot):
        during = (at >= hot.start) & (at < hot.start + hot.lasts) & (draw.random(len(at)) < hot.part)
        # Beyond the others: a hot key was not popular before.
        keys[during] = load.keys + number * 1000 + draw.integers(0, hot.keys, int(during.sum()))
    return keys


def draw_plan(job: Job) -> Plan:
    """The whole schedule, the same in every worker."""
    parts = []
    names = [entry.name for entry in job.traffic]
    for place, sender in enumerate(job.senders):
        draw = np.random.default_rng([job.seed & 0xFFFFFFFF, crc32(sender.name.encode())])
        at = arrivals(sender, job.surges, job.lasts, draw)
        n = len(at)
        kind = _kinds(sender.mix or job.load.mix, names, n, draw)
        fresh = draw.random(n) < job.load.fresh
        hang = np.where(
            draw.random(n) < job.load.hang_up, draw.random(n) * float(job.load.hang_up_after), NEVER
        )
        parts.append((at, np.full(n, place), kind, _keys(job.load, at, draw), fresh, hang))
    return Plan(*(np.concatenate(columns) for columns in zip(*parts, strict=True)))


def recorded_plan(paths: Iterable[Path], speed: float) -> Plan:
    """The first tries of a recorded run, at another speed if wanted. Raises BadRecord."""
    found = [row for row in all_rows(paths) if row[0] == "op" and row[3] == 0]
    columns = list(zip(*((r[8], r[4], r[5], r[6], r[18], r[19]) for r in found), strict=True)) or [()] * 6
    at, tenant, kind, key, fresh, hang = columns
    return Plan(
        np.array(at, float) / speed,
        np.array(tenant, int),
        np.array(kind, int),
        np.array(key, int),
        np.array(fresh, bool),
        np.array(hang, float),
    )
