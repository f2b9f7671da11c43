"""The script of a rehearsal: one TOML file for emulator, routers, load, steps and expectations."""

from __future__ import annotations

import re
from fnmatch import fnmatchcase
from pathlib import Path
from typing import Annotated, Literal, NamedTuple

import msgspec
from msgspec import Meta

from ..emulator.form import Emulator, Traffic, servers
from ..forms import toml
from ..forms.toml import BadField, above, unique
from ..forms.units import Seconds, default
from ..installation.form import DoorEntry, Limits, Rules
from ..load.form import Job, Load, Sender, Surge, check_mixes

MOST_LASTS = 3600.0
SERVER_FAULTS = frozenset(
    [
        "slow",
        "errors",
        "deaf",
        "mute",
        "half",
        "spoilt",
        "twice",
        "reset",
        "refuse",
        "hang",
        "pause",
        "pause_answer",
    ]
)
FAULTS_OF = {
    "cache": SERVER_FAULTS,
    "origin": SERVER_FAULTS | {"stop"},
    "discovery": frozenset({"outage", "stale", "empty", "late", "pause", "refuse", "hang"}),
}
ROUTER_STEPS = {"sigterm", "sighup", "sigkill", "start_router"}
SERVER_STEPS = {"crash", "restart", "replace", "drain", "restore", "deploy"}


class Routers(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The routers that are rehearsed."""

    count: Annotated[int, Meta(ge=1, le=64)] = 1
    limits: Limits = default(Limits())
    faulty: Annotated[
        Literal["", "double", "late", "mute", "twice", "drains", "pushes"],
        Meta(description="a stand-in that breaks a rule, in place of the router: to try the referee"),
    ] = ""
    cpus: Annotated[tuple[int, ...], Meta(description="cores that they may use; without: all")] = ()
    door: DoorEntry = default(DoorEntry())
    messages: Annotated[bool, Meta(description="they tell one another their rates by UDP")] = True
    restart_after: Annotated[
        Seconds, Meta(description="a router told to end, or killed, is started again after so long")
    ] = default(Seconds(1.0))


class Step(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Something that happens."""

    at: Annotated[Seconds, Meta(description="from the start of the load")]
    do: Annotated[
        str,
        Meta(
            description=(
                "a fault of a server (slow, errors, deaf, mute, half, spoilt, twice, "
                "reset, refuse, hang, pause, pause_answer; "
                "of the origin also stop; of discovery outage, stale, empty, late); "
                "crash, restart, replace, drain, restore, "
                "deploy of cache servers; sigterm, sighup, sigkill of a router; surge of a tenant; chaos"
            )
        ),
    ]
    who: Annotated[
        str,
        Meta(
            description=(
                "servers by pattern (`c-1*`, `c-1,c-2`) or as a part drawn by the "
                "seed (`30%`); `origin`; `discovery`; "
                "a router's number; a tenant"
            )
        ),
    ] = ""
    lasts: Annotated[
        Seconds, Meta(description="of a fault or surge; of a restart, deploy: how long each is away")
    ] = default(Seconds(2.0))
    part: Annotated[float, Meta(description="of the commands that meet the fault", gt=0, le=1)] = 1.0
    factor: Annotated[
        float, Meta(description="how many times slower, or more; of `late`: seconds", gt=0, le=10_000)
    ] = 2.0
    router: Annotated[int, Meta(description="the only router that meets the fault; -1: all", ge=-1)] = -1
    cold: Annotated[bool, Meta(description="a restart or deploy brings the server back cold")] = True
    renew: Annotated[bool, Meta(description="under a new id")] = False
    batch: Annotated[int, Meta(description="of a deploy: servers at a time", ge=1)] = 1
    every: Annotated[
        Seconds, Meta(description="of a deploy or chaos: from one batch or fault to the next")
    ] = default(Seconds(1.0))
    drain: Annotated[Seconds, Meta(description="of a deploy: from the word to the end of a server")] = (
        default(Seconds(0.5))
    )
    spread: Annotated[Seconds, Meta(description="later by a time up to this, drawn by the seed")] = default(
        Seconds(0)
    )
    kinds: Annotated[tuple[str, ...], Meta(description="of chaos: faults to draw from")] = (
        "slow",
        "errors",
        "mute",
        "half",
        "reset",
        "pause",
    )


class Expectation(NamedTuple):
    """`settled >= 0.95 of acme for read between 40s and 60s`."""

    text: str
    figure: str
    sign: str
    bound: float
    tenant: str
    kind: str
    start: float
    end: float


FIGURES = (
    "settled",
    "bounced",
    "forfeited",
    "unanswered",
    "reached",
    "p50",
    "p99",
    "p999",
    "operations",
    "misses",
    "overloads",
    "falls",
    "rules_broken",
    "legs",
)
EXPECT = re.compile(
    r"(?P<figure>\w+) (?P<sign>>=|<=|>|<|==) (?P<bound>\d+(?:\.\d+)?)(?P<unit>ms|s|/s)?"
    r"(?: of (?P<tenant>\S+))?(?: for (?P<kind>\S+))?"
    r"(?: between (?P<start>\d+(?:\.\d+)?)s and (?P<end>\d+(?:\.\d+)?)s)?"
)


def read_expectation(text: str) -> Expectation:
    """An expectation from its words. Raises ValueError."""
    found = EXPECT.fullmatch(text)
    if found is None:
        raise ValueError(f"{text!r}: wants FIGURE SIGN BOUND [of TENANT] [for TYPE] [between 1s and 2s]")
    if found["figure"] not in FIGURES:
        raise ValueError(f"{found['figure']!r} is none of {', '.join(FIGURES)}")
    bound = float(found["bound"]) / (1000.0 if found["unit"] == "ms" else 1.0)
    start = float(found["start"] or 0.0)
    end = float(found["end"]) if found["end"] else MOST_LASTS
    if end <= start:
        raise ValueError(f"{text!r}: ends before it begins")
    return Expectation(
        text, found["figure"], found["sign"], bound, found["tenant"] or "", found["kind"] or "", start, end
    )


class Script(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A rehearsal."""

    traffic: Annotated[tuple[Traffic, ...], Meta(min_length=1, max_length=64)]
    tenants: Annotated[tuple[Sender, ...], Meta(min_length=1, max_length=1000)]
    lasts: Annotated[Seconds, Meta(description="how long the load goes on")] = default(Seconds(30.0))
    seed: Annotated[int, Meta(description="of all that is drawn", ge=0, lt=1 << 32)] = 1
    title: str = ""
    rules: Rules = default(Rules())
    drain_grace: Annotated[
        Seconds, Meta(description="a leg may begin so long after its router was told of the drain")
    ] = default(Seconds(0.25))
    emulator: Emulator = default(Emulator())
    routers: Routers = default(Routers())
    load: Load = default(Load())
    step: tuple[Step, ...] = ()
    expect: Annotated[
        tuple[str, ...],
        Meta(
            description="`settled >= 0.95 [of TENANT] [for TYPE] [between 40s and 60s]`; "
            f"figures: {', '.join(FIGURES)}"
        ),
    ] = ()

    def __post_init__(self) -> None:
        above("lasts", self.lasts)
        if self.lasts > MOST_LASTS:
            raise BadField("lasts", "over an hour")
        unique("traffic", [entry.name for entry in self.traffic])
        unique("tenants", [entry.name for entry in self.tenants])
        check_mixes(self.load, self.tenants, self.traffic)
        if not self.rules.asks_origin and self.emulator.processes > 1:
            raise BadField(
                "emulator.processes", "servers that ask the origin themselves are played by one process"
            )
        for i, step in enumerate(self.step):
            self._check_step(f"step[{i}]", step)
        for i, text in enumerate(self.expect):
            self._check_expectation(f"expect[{i}]", text)

    def _check_step(self, field: str, step: Step) -> None:
        if step.at >= self.lasts:
            raise BadField(f"{field}.at", "after the end")
        if step.do == "surge":
            if step.who not in {entry.name for entry in self.tenants}:
                raise BadField(f"{field}.who", f"no tenant {step.who!r}")
        elif step.do in ROUTER_STEPS:
            if not step.who.isdigit() or int(step.who) >= self.routers.count:
                raise BadField(f"{field}.who", f"no router {step.who!r}")
        elif step.do in SERVER_STEPS or step.do == "chaos":
            self._check_servers(field, step)
            above(f"{field}.every", step.every)
        else:
            kind = step.who if step.who in ("origin", "discovery") else "cache"
            if step.do not in FAULTS_OF[kind]:
                raise BadField(f"{field}.do", f"{step.do!r} does not happen to {kind}")
            if kind == "cache":
                self._check_servers(field, step)
        for i, kind in enumerate(step.kinds):
            if kind not in FAULTS_OF["cache"] | {"restart"}:
                raise BadField(f"{field}.kinds[{i}]", f"{kind!r} does not happen to cache servers")

    def _check_servers(self, field: str, step: Step) -> None:
        names = [uid for uid, _ in servers(self.emulator)]
        if re.fullmatch(r"\d+(\.\d+)?%", step.who):
            if float(step.who[:-1]) > 100:
                raise BadField(f"{field}.who", "over 100%")
        elif not any(fnmatchcase(uid, each.strip()) for uid in names for each in step.who.split(",")):
            raise BadField(f"{field}.who", f"no server {step.who!r}")

    def _check_expectation(self, field: str, text: str) -> None:
        try:
            wanted = read_expectation(text)
        except ValueError as bad:
            raise BadField(field, str(bad)) from None
        if wanted.tenant and wanted.tenant not in {entry.name for entry in self.tenants}:
            raise BadField(field, f"no tenant {wanted.tenant!r}")
        if wanted.kind and wanted.kind not in {entry.name for entry in self.traffic}:
            raise BadField(field, f"no traffic type {wanted.kind!r}")

    @property
    def surges(self) -> tuple[Surge, ...]:
        """The surges of the steps, as the load is told them."""
        return tuple(
            Surge(s.who, float(s.at), float(s.lasts), s.factor) for s in self.step if s.do == "surge"
        )


def job_of(
    script: Script, targets: tuple[tuple[str, int], ...], routers: bool, replay: tuple[str, ...], speed: float
) -> Job:
    """What the load's workers are told; `routers`: the targets are routers in the order of their numbers."""
    return Job(
        script.load,
        script.tenants,
        script.traffic,
        script.surges,
        float(script.lasts),
        script.seed,
        targets,
        routers,
        0,
        "",
        replay,
        speed,
    )


REFERENCE = (
    "Script of a rehearsal",
    "TOML, read by `gaugehinge rehearse`, `emulate`, `load` and `check --as "
    "script`. Figures carry their units. An "
    "unknown field, a wrong type, a figure out of its bounds, two entries of "
    "one name, a step that cannot happen: "
    "exit 2 and one line with the field's path. Made by `gaugehinge schema --of script --page`.",
)


def read_script(path: str | Path) -> Script:
    """The file as structs. Raises toml.BadFile."""
    return toml.read(path, Script)
