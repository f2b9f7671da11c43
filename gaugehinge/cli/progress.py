"""Progress of long work: a live line on a terminal, plain lines elsewhere. Tables for both."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from rich.console import Console
from rich.table import Table

CONSOLE = Console(soft_wrap=True, highlight=False)


class Teller:
    """What is going on, told line by line."""

    def __init__(self, status: Any = None) -> None:
        self.status = status

    def __call__(self, text: str) -> None:
        if self.status is not None:
            self.status.update(text)
        CONSOLE.print(text, markup=False)


@contextmanager
def telling() -> Iterator[Teller]:
    """A teller; on a terminal with a moving mark below its lines."""
    if CONSOLE.is_terminal:
        with CONSOLE.status("starting") as status:
            yield Teller(status)
    else:
        yield Teller()


def _percent(count: int, total: int) -> str:
    return f"{100.0 * count / max(total, 1):.2f}%"


def summary(results: dict[str, Any]) -> None:
    """The results as tables."""
    table = Table(title=f"{results['title']}, seed {results['seed']}", title_justify="left")
    table.add_column("outcome")
    table.add_column("tries", justify="right")
    table.add_column("part", justify="right")
    for name, count in results["totals"].items():
        table.add_row(name, str(count), _percent(count, results["tries"]))
    CONSOLE.print(table)
    latency = ", ".join(
        f"{name} {value * 1000:.1f} ms" for name, value in results["latency"].items() if value
    )
    CONSOLE.print(f"latency of what was settled: {latency or 'nothing was'}")
    for each in results["routers"]:
        CONSOLE.print(
            f"router {each['router']}: {each['cpu_each_ms']:.3f} ms CPU an operation, "
            f"{each['memory_most'] / 1048576:.0f} MiB at most"
        )
    late = results["driver"]["lateness_p99"]
    CONSOLE.print(f"the driver's own lateness: p99 {(late or 0) * 1000:.1f} ms")
    if results["emulator"]["late"]:
        most = results["emulator"]["lag_most"]
        CONSOLE.print(f"the machine was too busy: the emulator ran up to {most:.2f} s late")
    for rule, count in results["rules"].items():
        CONSOLE.print(f"rule {rule}: {'kept' if not count else f'BROKEN {count} times'}")
    for rule, text, _ in results["breaks"][:10]:
        CONSOLE.print(f"  {rule}: {text}", markup=False)
    for each in results["expect"]:
        found = "nothing" if each["found"] is None else f"{each['found']:.4g}"
        CONSOLE.print(
            f"expected {each['text']}: found {found}, {'met' if each['met'] else 'NOT MET'}", markup=False
        )
