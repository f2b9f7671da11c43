"""What the commands that run a rehearsal share."""

from __future__ import annotations

from datetime import datetime
from pathlib import Path
from typing import TYPE_CHECKING

import click

from .main import BadInput, Exit
from .progress import CONSOLE, summary, telling

if TYPE_CHECKING:
    from ..rehearsal.script import Script


def new_folder(out: str | None, name: str) -> Path:
    """Where a run's records go: `out` if it is given, else a new folder by name and time."""
    if out is not None:
        return Path(out)
    return Path("runs") / f"{name}-{datetime.now():%Y%m%dT%H%M%S}"


def load_script(file: str, seed: int | None) -> Script:
    """The script, with another seed if one is given.

    Raises:
        BadInput: The file cannot be read, or a value in it is not allowed.
    """
    import msgspec

    from ..forms.toml import BadFile
    from ..rehearsal.script import read_script

    try:
        script = read_script(file)
    except BadFile as error:
        raise BadInput(str(error)) from None
    return script if seed is None else msgspec.structs.replace(script, seed=seed)


def rehearse(
    script: Script, folder: Path, replay: tuple[str, ...] = (), speed: float = 1.0, report: bool = True
) -> int:
    """Run a script, evaluate its records and show the results; returns the exit code.

    Raises:
        click.ClickException: The run failed.
    """
    import trio

    from ..rehearsal.results import write_results
    from ..rehearsal.run import Rehearsal, RunFailed

    with telling() as tell:
        try:
            trio.run(Rehearsal(script, folder, tell, replay, speed).run)
        except RunFailed as error:
            raise click.ClickException(f"the run failed: {error}") from None
        results = write_results(folder)
        if report:
            from ..rehearsal.report import write_report

            write_report([folder], folder / "report.html")
    summary(results)
    CONSOLE.print(f"records: {folder}" + (f"; report: {folder / 'report.html'}" if report else ""))
    return Exit.GOOD if results["good"] else Exit.BROKEN
