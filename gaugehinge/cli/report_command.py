"""`gaugehinge report RUN [RUN]`."""

from pathlib import Path

import click

from .main import BadInput


@click.command("report", epilog="Example: gaugehinge report runs/before runs/after --out compared.html")
@click.argument("runs", nargs=-1, required=True, type=click.Path(file_okay=False))
@click.option(
    "--out", type=click.Path(dir_okay=False), help="The page; report.html in the first run's folder."
)
def command(runs: tuple[str, ...], out: str | None) -> None:
    """Make the HTML page of a run; two runs are laid over each other, with their differences."""
    from ..forms.record import BadRecord
    from ..forms.toml import BadFile
    from ..rehearsal.report import write_report

    if len(runs) > 2:
        raise click.UsageError("one run or two")
    folders = [Path(run) for run in runs]
    for folder in folders:
        if not (folder / "facts.json").exists():
            raise BadInput(f"{folder}: facts.json: missing: no run, or one that was cut off")
    page = Path(out) if out else folders[0] / "report.html"
    try:
        write_report(folders, page)
    except (BadRecord, BadFile) as bad:
        raise BadInput(str(bad)) from None
    click.echo(f"report: {page}")
