"""From the records of a run to its results: windows of a second, expectations, broken rules,
figures of the routers."""

from __future__ import annotations

import json
import platform
from collections import defaultdict
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import msgspec
import numpy as np
from hdrh.histogram import HdrHistogram

from .. import __version__
from ..forms.record import rows
from ..load.driver import BOUNCED, FORFEITED, LOST, SETTLED, SPOILT, UNANSWERED, UNREACHED, WRONG
from ..load.referee import Break, Limits, Op, Referee, count_by_rule
from .run import Facts
from .script import Expectation, Script, read_expectation, read_script
from .timeline import marks

MOST_LATENCY = 120_000_000  # microseconds
DIGITS = 3
MOST_BREAKS = 50  # written one by one; the counts are of all
MOST_LAG = 0.05  # of the emulator: over it a verdict may be the machine's own, and the results say so
MOST_CURVES = 12  # servers whose operations in hand are shown, the busiest
FAILED = (FORFEITED, UNANSWERED, LOST, UNREACHED, WRONG, SPOILT)
SIGNS = {">=": np.greater_equal, "<=": np.less_equal, ">": np.greater, "<": np.less, "==": np.equal}


def histogram(seconds: Iterable[float]) -> HdrHistogram:
    """Latencies in microseconds, three digits."""
    made = HdrHistogram(1, MOST_LATENCY, DIGITS)
    for value in seconds:
        made.record_value(min(max(int(value * 1e6), 1), MOST_LATENCY))
    return made


def quantile(made: HdrHistogram, part: float) -> float | None:
    """A quantile in seconds; None of nothing."""
    return made.get_value_at_percentile(part * 100.0) / 1e6 if made.get_total_count() else None


class Run:
    """The records of one run, read into memory."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.script: Script = read_script(folder / "script.toml")
        self.facts = msgspec.json.decode((folder / "facts.json").read_bytes(), type=Facts)
        effects = {entry.name: entry.effect for entry in self.script.traffic}
        memory = {entry.name: float(entry.memory) for entry in self.script.traffic}
        self.referee = Referee(
            self.facts.zero,
            Limits(
                drain_grace=float(self.script.drain_grace),
                memory=memory,
                effects=effects,
                fall_time=float(self.script.rules.fall_time),
            ),
        )
        self.gauges: dict[str, list[tuple[float, int]]] = defaultdict(list)
        self.usage: dict[int, list[tuple[float, float, int]]] = defaultdict(list)
        self.events: list[tuple[float, str]] = []
        self.lag = 0.0  # of the emulator's processes, the most
        for row in self._rows():
            self._take(row)
        self.breaks: list[Break] = self.referee.judge()
        self.ops: list[Op] = list(self.referee.ops.values())
        self.lasts = float(self.script.lasts) / self.facts.speed

    def _rows(self) -> Iterator[list[Any]]:
        for path in sorted(self.folder.glob("*.rec")):
            yield from rows(path)

    def _take(self, row: list[Any]) -> None:
        self.referee.feed(row)
        zero = self.facts.zero
        if row[0] == "gauge":
            self.gauges[row[1]].append((row[2] - zero, row[3] + row[4]))
        elif row[0] == "lag" and row[2] >= zero:
            self.lag = max(self.lag, row[3])
        elif row[0] == "usage":
            self.usage[row[1]].append((row[2] - zero, row[3], row[4]))
        elif row[0] == "router":
            self.events.append((row[3] - zero, f"router {row[1]} {row[2]}"))
        elif row[0] == "fall":
            self.events.append((row[2] - zero, f"{row[1]} fell over"))

    # -- choosing

    def select(self, wanted: Expectation) -> list[Op]:
        """The tries that an expectation is about."""
        tenants = [entry.name for entry in self.script.tenants]
        kinds = [entry.name for entry in self.script.traffic]
        return [
            one
            for one in self.ops
            if wanted.start <= one.planned < wanted.end
            and (not wanted.tenant or tenants[one.tenant] == wanted.tenant)
            and (not wanted.kind or kinds[one.kind] == wanted.kind)
        ]

    def figure(self, wanted: Expectation) -> float | None:
        """The figure that an expectation names; None where there is nothing to measure."""
        name = wanted.figure
        span = min(wanted.end, self.lasts) - wanted.start
        if name in ("misses", "overloads", "legs", "falls"):
            count = sum(wanted.start <= at < wanted.end for at in self.attempt_times(name))
            return float(count) if name == "falls" else count / span
        if name == "rules_broken":
            return float(sum(wanted.start <= each.at < wanted.end for each in self.breaks))
        chosen = self.select(wanted)
        if name == "operations":
            return sum(one.count == 0 for one in chosen) / span
        if name == "reached":
            return self._reached(chosen)
        if name in ("p50", "p99", "p999"):
            latencies = histogram(one.ended - one.sent for one in chosen if one.outcome == SETTLED)
            return quantile(latencies, {"p50": 0.5, "p99": 0.99, "p999": 0.999}[name])
        if not chosen:
            return None
        words = {
            "settled": (SETTLED,),
            "bounced": (BOUNCED,),
            "forfeited": FAILED,
            "unanswered": (UNANSWERED, LOST),
        }
        return sum(one.outcome in words[name] for one in chosen) / len(chosen)

    def _reached(self, chosen: list[Op]) -> float | None:
        """Part of the first tries that some try settled in the end."""
        firsts = {one.number for one in chosen if one.count == 0}
        settled = {one.first for one in self.ops if one.outcome == SETTLED}
        return len(firsts & settled) / len(firsts) if firsts else None

    def attempt_times(self, name: str) -> list[float]:
        """When attempts missed, were turned away or fell on; or when servers fell."""
        attempts = self.referee.attempts
        if name == "falls":
            return [at for _, at, _ in self.referee.falls]
        if name == "legs":
            return [attempt.began for attempt in attempts]
        if name == "misses":
            return [attempt.began for attempt in attempts if attempt.how == "miss"]
        return [attempt.began for attempt in attempts if attempt.how == "busy"] + self.attempt_times("falls")

    # -- windows of a second

    def windows(self) -> dict[str, list[float | None]]:
        """Counts and quantiles by the second in which a try was due."""
        count = max(int(np.ceil(self.lasts)), 1)
        made: dict[str, list[float | None]] = {}
        groups = {"settled": (SETTLED,), "bounced": (BOUNCED,), "forfeited": FAILED}
        planned = np.array([one.planned for one in self.ops])
        outcomes = [one.outcome for one in self.ops]
        edges = np.arange(count + 1)
        made["operations"] = _counts(planned, edges)
        for name, words in groups.items():
            chosen = np.array([outcome in words for outcome in outcomes], bool)
            made[name] = _counts(planned[chosen] if len(planned) else planned, edges)
        for name in ("legs", "misses", "overloads", "falls"):
            made[name] = _counts(np.array(self.attempt_times(name)), edges)
        latencies: list[list[float]] = [[] for _ in range(count)]
        for one in self.ops:
            if one.outcome == SETTLED and 0 <= one.planned < count:
                latencies[int(one.planned)].append(one.ended - one.sent)
        histograms = [histogram(values) for values in latencies]
        for name, part in (("p50", 0.5), ("p99", 0.99), ("p999", 0.999)):
            made[name] = [quantile(each, part) for each in histograms]
        return made

    def in_hand(self) -> dict[str, list[float]]:
        """Operations at each server by the second, the busiest ones."""
        count = max(int(np.ceil(self.lasts)), 1)
        curves = {}
        for uid, seen in self.gauges.items():
            sums, hits = np.zeros(count), np.zeros(count)
            for at, value in seen:
                if 0 <= at < count:
                    sums[int(at)] += value
                    hits[int(at)] += 1
            curves[uid] = np.divide(sums, np.maximum(hits, 1)).round(2).tolist()
        busiest = sorted(curves, key=lambda uid: (-sum(curves[uid]), uid))[:MOST_CURVES]
        return {uid: curves[uid] for uid in busiest}

    # -- the routers

    def routers(self) -> list[dict[str, float]]:
        """CPU an operation and memory, over the time of the load."""
        total = max(sum(one.planned >= 0 for one in self.ops), 1)
        made = []
        for number, seen in sorted(self.usage.items()):
            during = [entry for entry in seen if entry[0] >= -1.0] or seen
            cpu = during[-1][1] - during[0][1]
            made.append(
                {
                    "router": number,
                    "cpu_seconds": round(cpu, 3),
                    "cpu_part": round(cpu / max(self.lasts, 1.0), 3),
                    "memory_first": next((m for _, _, m in during if m), 0),
                    "memory_most": max(m for _, _, m in during),
                    "cpu_each_ms": round(1000.0 * cpu * len(self.usage) / total, 4),
                }
            )
        return made

    def modes(self) -> list[tuple[float, str]]:
        """Mode changes of the routers from their logs, and what became of the processes."""
        told = list(self.events)
        for path in sorted(self.folder.glob("router-*-*.log")):
            number = path.name.split("-")[1]
            for line in path.read_text(errors="replace").splitlines():
                entry = _log_entry(line)
                if entry is not None:
                    told.append((entry[0] - self.facts.zero_unix, f"router {number}: {entry[1]}"))
        return sorted((round(at, 3), text) for at, text in told)

    # -- all of it

    def results(self) -> dict[str, Any]:
        """What `report` and `rehearse` show, as plain values."""
        expected = []
        for text in self.script.expect:
            wanted = read_expectation(text)
            found = self.figure(wanted)
            met = found is not None and bool(SIGNS[wanted.sign](found, wanted.bound))
            expected.append({"text": text, "found": found, "met": met})
        counts = count_by_rule(self.breaks)
        lateness = histogram(max(one.lateness, 0.0) for one in self.ops)
        settled = histogram(one.ended - one.sent for one in self.ops if one.outcome == SETTLED)
        totals: dict[str, int] = defaultdict(int)
        for one in self.ops:
            totals[one.outcome] += 1
        return {
            "title": self.script.title or self.folder.name,
            "seed": self.script.seed,
            "lasts": self.lasts,
            "version": __version__,
            "replayed": self.facts.replayed,
            "speed": self.facts.speed,
            "machine": f"{platform.machine()}, Python {platform.python_version()}",
            "totals": dict(sorted(totals.items())),
            "tries": len(self.ops),
            "first_tries": sum(one.count == 0 for one in self.ops),
            "legs": len(self.referee.attempts),
            "latency": {
                name: quantile(settled, part)
                for name, part in (("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("p999", 0.999))
            },
            "rules": counts,
            "rules_broken": sum(counts.values()),
            "breaks": [[each.rule, each.text, round(each.at, 3)] for each in self.breaks[:MOST_BREAKS]],
            "expect": expected,
            "good": not any(counts.values()) and all(each["met"] for each in expected),
            "windows": self.windows(),
            "in_hand": self.in_hand(),
            "routers": self.routers(),
            "modes": self.modes(),
            "steps": [[at / self.facts.speed, text] for at, text in marks(self.script)],
            "driver": {
                "lateness_p50": quantile(lateness, 0.5),
                "lateness_p99": quantile(lateness, 0.99),
                "cpu_seconds": round(self.facts.load_cpu, 3),
            },
            "emulator": {"lag_most": self.lag, "late": self.lag > MOST_LAG},
            "falls": [[uid, round(at, 3), cold] for uid, at, cold in self.referee.falls],
        }


def _counts(times: np.ndarray, edges: np.ndarray) -> list[float | None]:
    return np.histogram(times, edges)[0].astype(int).tolist() if len(times) else [0] * (len(edges) - 1)


def _log_entry(line: str) -> tuple[float, str] | None:
    """Time and text of a router's structured log line, if it is one and no address table."""
    try:
        record = json.loads(line)["record"]
        text = record["message"]
        at = record["time"]["timestamp"]
    except (ValueError, KeyError, TypeError):
        return None
    return None if text.startswith("server ") else (at, text)


def write_results(folder: Path) -> dict[str, Any]:
    """Work a run's records off and leave `results.json` beside them."""
    made = Run(folder).results()
    (folder / "results.json").write_text(json.dumps(made, indent=1))
    return made


def read_results(folder: Path) -> dict[str, Any]:
    """The results of a run, made now where they are missing."""
    path = folder / "results.json"
    return json.loads(path.read_text()) if path.exists() else write_results(folder)


def agreement(one: list[float | None], other: list[float | None]) -> float:
    """How far two time lines of counts lie apart: the differences of all seconds, as a part of the mean sum.

    0 is the same, 2 has nothing in common.
    """
    a = np.array([value or 0.0 for value in one])
    b = np.array([value or 0.0 for value in other])
    n = min(len(a), len(b))
    total = (a[:n].sum() + b[:n].sum()) / 2.0
    return float(np.abs(a[:n] - b[:n]).sum() / total) if total else 0.0


__all__ = ["Run", "agreement", "read_results", "write_results"]
