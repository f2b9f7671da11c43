"""Steps to single deeds on one time line, with what the seed draws. No I/O."""

from __future__ import annotations

from typing import Any, NamedTuple
from zlib import crc32

import numpy as np

from ..emulator.faults import chosen
from ..emulator.form import servers
from .script import ROUTER_STEPS, Script, Step


class Deed(NamedTuple):
    """One thing to do at a time."""

    at: float
    what: str  # fault, crash, back, drain, restore; sigterm, sighup, sigkill, start_router
    who: str
    given: dict[str, Any]


def deeds(script: Script) -> list[Deed]:
    """All deeds of a script in their order; the same for the same seed."""
    uids = [uid for uid, _ in servers(script.emulator)]
    found: list[Deed] = []
    for number, step in enumerate(script.step):
        draw = np.random.default_rng([script.seed, number, crc32(step.do.encode())])
        at = float(step.at) + (draw.random() * float(step.spread) if step.spread else 0.0)
        if step.do == "surge":
            continue  # the schedule of the load has it
        if step.do in ROUTER_STEPS:
            found.append(Deed(at, step.do, step.who, {}))
            if step.do in ("sigterm", "sigkill"):
                found.append(Deed(at + float(script.routers.restart_after), "start_router", step.who, {}))
        elif step.do == "deploy":
            found += _deploy(step, at, chosen(step.who, uids, script.seed, f"{number}"))
        elif step.do == "chaos":
            found += _chaos(step, at, chosen(step.who, uids, script.seed, f"{number}"), draw)
        else:
            found += _single(step, at, uids, script.seed, number)
    # What falls at one time is done in the order of the script.
    return sorted((deed for deed in found if deed.at < script.lasts), key=lambda deed: deed.at)


def _single(step: Step, at: float, uids: list[str], seed: int, number: int) -> list[Deed]:
    whole = step.who in ("origin", "discovery")
    who = [step.who] if whole else chosen(step.who, uids, seed, f"{number}")
    if step.do in ("crash", "drain", "restore"):
        return [Deed(at, step.do, uid, {}) for uid in who]
    if step.do in ("restart", "replace"):
        return [deed for uid in who for deed in _away(at, uid, step, step.renew or step.do == "replace")]
    fault = {
        "name": step.do,
        "lasts": float(step.lasts),
        "part": step.part,
        "factor": step.factor,
        "router": step.router,
    }
    return [Deed(at, "fault", uid, fault) for uid in who]


def _away(at: float, uid: str, step: Step, renew: bool) -> list[Deed]:
    return [
        Deed(at, "crash", uid, {}),
        Deed(at + float(step.lasts), "back", uid, {"cold": step.cold, "renew": renew}),
    ]


def _deploy(step: Step, at: float, who: list[str]) -> list[Deed]:
    """A rolling release: each batch drains, ends and is back before long, cold."""
    found = []
    for place, uid in enumerate(who):
        begin = at + place // step.batch * float(step.every)
        found.append(Deed(begin, "drain", uid, {}))
        found += _away(begin + float(step.drain), uid, step, step.renew)
    return found


def _chaos(step: Step, at: float, who: list[str], draw: np.random.Generator) -> list[Deed]:
    """Faults drawn by the seed, one after the other, for as long as the step lasts."""
    found = []
    time = at
    while time < at + float(step.lasts) and who:
        uid, kind = who[int(draw.integers(len(who)))], step.kinds[int(draw.integers(len(step.kinds)))]
        lasts = float(step.every) * (0.5 + draw.random())
        if kind == "restart":
            found += [
                Deed(time, "crash", uid, {}),
                Deed(time + lasts, "back", uid, {"cold": step.cold, "renew": False}),
            ]
        else:
            found.append(
                Deed(
                    time,
                    "fault",
                    uid,
                    {
                        "name": kind,
                        "lasts": lasts,
                        "part": step.part,
                        "factor": step.factor,
                        "router": step.router,
                    },
                )
            )
        time += float(draw.exponential(float(step.every)))
    return found


def marks(script: Script) -> list[tuple[float, str]]:
    """The steps as a report marks them."""
    told = []
    for step in script.step:
        factor = f" x{step.factor:g}" if step.do in ("surge", "slow") else ""
        told.append((float(step.at), f"{step.do} {step.who}{factor}"))
    return told
