"""One self-contained HTML page of a run, or of two laid over each other; plots as SVG."""

from __future__ import annotations

import io
import json
from pathlib import Path
from typing import Any

import jinja2
import matplotlib

matplotlib.use("svg")
import matplotlib.pyplot as plt  # noqa: E402 - the backend must be chosen first
import numpy as np  # noqa: E402

from .results import agreement, read_results  # noqa: E402

WIDTH, HEIGHT = 10.0, 2.3  # inches of one plot
COLOURS = {"settled": "#3b7d4f", "bounced": "#d39c2c", "forfeited": "#b5403a"}
STYLES = ("-", "--")
MOST_MODES = 200  # rows of the table of mode changes
FACE = {"font.size": 8, "axes.spines.top": False, "axes.spines.right": False, "svg.hashsalt": "gaugehinge"}


def _svg(figure: Any) -> str:
    out = io.StringIO()
    figure.savefig(out, format="svg", bbox_inches="tight", metadata={"Date": None})
    plt.close(figure)
    text = out.getvalue()
    return text[text.index("<svg") :]


def _axes(title: str, runs: list[dict[str, Any]]) -> tuple[Any, Any]:
    figure, axes = plt.subplots(figsize=(WIDTH, HEIGHT))
    axes.set_title(title, loc="left")
    axes.set_xlim(0, max(run["lasts"] for run in runs))
    axes.set_xlabel("seconds")
    for at, _ in runs[0]["steps"]:
        axes.axvline(at, color="#999999", linewidth=0.7, linestyle=":")
    return figure, axes


def _line(axes: Any, values: list[float | None], label: str, run: int, colour: str | None = None) -> None:
    y = np.array([np.nan if value is None else value for value in values], float)
    axes.plot(np.arange(len(y)) + 0.5, y, STYLES[run], color=colour, label=label, linewidth=1.2)


def _outcomes(runs: list[dict[str, Any]]) -> str:
    figure, axes = _axes("Outcomes, tries a second", runs)
    if len(runs) == 1:
        windows = runs[0]["windows"]
        x = np.arange(len(windows["settled"])) + 0.5
        axes.stackplot(
            x, *(windows[name] for name in COLOURS), labels=list(COLOURS), colors=COLOURS.values(), alpha=0.8
        )
    else:
        for number, run in enumerate(runs):
            for name, colour in COLOURS.items():
                _line(axes, run["windows"][name], f"{name}, run {number + 1}", number, colour)
    axes.legend(loc="upper right", fontsize=7)
    return _svg(figure)


def _curves(
    title: str, runs: list[dict[str, Any]], names: tuple[str, ...], scale: float = 1.0, log: bool = False
) -> str:
    figure, axes = _axes(title, runs)
    for number, run in enumerate(runs):
        for place, name in enumerate(names):
            values = [None if v is None else v * scale for v in run["windows"][name]]
            label = name if len(runs) == 1 else f"{name}, run {number + 1}"
            _line(axes, values, label, number, f"C{place}")
    if log:
        axes.set_yscale("log")
    axes.legend(loc="upper right", fontsize=7)
    return _svg(figure)


def _in_hand(runs: list[dict[str, Any]]) -> str:
    figure, axes = _axes("Operations at servers, the busiest ones", runs)
    for number, run in enumerate(runs):
        for place, (uid, values) in enumerate(run["in_hand"].items()):
            _line(
                axes, values, uid if len(runs) == 1 else f"{uid}, run {number + 1}", number, f"C{place % 10}"
            )
    axes.legend(loc="upper right", fontsize=6, ncols=2)
    return _svg(figure)


def _modes(runs: list[dict[str, Any]]) -> str:
    """Mode changes as ticks, a row for each router or process, the steps' marks above."""
    figure, axes = _axes("Mode changes", runs)
    names = sorted({_who(text) for run in runs for at, text in run["modes"] if at >= -1})
    for number, run in enumerate(runs):
        for at, text in run["modes"]:
            if at >= -1:
                axes.plot([at], [names.index(_who(text)) + 0.15 * number], "|", color=f"C{number}")
    axes.set_yticks(range(len(names)), names, fontsize=6)
    return _svg(figure)


def _who(text: str) -> str:
    """Whom a mode change is of: `router 3`, or the server that fell."""
    words = text.replace(":", "").split()
    return " ".join(words[:2]) if words[0] == "router" else words[0]


def plots(runs: list[dict[str, Any]]) -> list[str]:
    """All plots of one or two runs, each an SVG element."""
    with matplotlib.rc_context(FACE):
        return [
            _outcomes(runs),
            _curves(
                "Latency of what was settled, milliseconds", runs, ("p50", "p99", "p999"), 1000.0, log=True
            ),
            _curves("Misses a second", runs, ("misses",)),
            _curves("Overloads a second: legs turned away, servers fallen over", runs, ("overloads",)),
            _in_hand(runs),
            _modes(runs),
        ]


def differences(runs: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Two runs against each other: totals, quantiles, and how far their seconds lie apart."""
    if len(runs) < 2:
        return []
    one, other = runs
    rows = [
        {
            "name": name,
            "one": one["totals"].get(name, 0),
            "other": other["totals"].get(name, 0),
            "apart": None,
        }
        for name in sorted(one["totals"].keys() | other["totals"].keys())
    ]
    for name in ("p50", "p99", "p999"):
        rows.append(
            {
                "name": f"{name}, ms",
                "one": _ms(one["latency"][name]),
                "other": _ms(other["latency"][name]),
                "apart": None,
            }
        )
    for name in ("operations", "settled", "misses", "overloads"):
        a, b = one["windows"][name], other["windows"][name]
        rows.append(
            {"name": f"{name} by the second", "one": sum(a), "other": sum(b), "apart": agreement(a, b)}
        )
    return rows


def _ms(value: float | None) -> float | None:
    return None if value is None else round(value * 1000.0, 2)


def page(runs: list[dict[str, Any]]) -> str:
    """The page of one or two runs."""
    here = Path(__file__).parent / "templates"
    loader = jinja2.Environment(loader=jinja2.FileSystemLoader(here), autoescape=True, trim_blocks=True)
    return loader.get_template("report.html").render(
        runs=runs, plots=plots(runs), differences=differences(runs), most_modes=MOST_MODES, ms=_ms
    )


def write_report(folders: list[Path], out: Path) -> list[dict[str, Any]]:
    """Write the page and its JSON; returns the runs' results."""
    runs = [read_results(folder) for folder in folders]
    out.write_text(page(runs))
    if len(runs) > 1:
        out.with_suffix(".json").write_text(
            json.dumps({"runs": runs, "differences": differences(runs)}, indent=1)
        )
    return runs
