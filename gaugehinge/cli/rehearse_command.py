"""`gaugehinge rehearse SCRIPT`."""

import sys

import click


@click.command("rehearse", epilog="Example: gaugehinge rehearse rehearsals/bad-morning.toml --seed 3")
@click.argument("script", type=click.Path(dir_okay=False))
@click.option("--seed", type=click.IntRange(0, (1 << 32) - 1), help="Instead of the script's.")
@click.option(
    "--out", type=click.Path(file_okay=False), help="Folder for records and report; made by name and time."
)
@click.option("--report/--no-report", default=True, show_default=True, help="Write report.html.")
def command(script: str, seed: int | None, out: str | None, report: bool) -> None:
    """Play a script: emulator, routers and load, its steps on a time line, and what is expected of it.

    Exit 0 when the four rules were kept and all expectations were met.
    """
    from pathlib import Path

    from .running import load_script, new_folder, rehearse

    found = load_script(script, seed)
    sys.exit(rehearse(found, new_folder(out, Path(script).stem), report=report))
