"""`gaugehinge demo`."""

import sys

import click


@click.command("demo", epilog="Example: gaugehinge demo")
@click.option(
    "--out", type=click.Path(file_okay=False), help="Folder for records and report; made by name and time."
)
def command(out: str | None) -> None:
    """Three cache servers, an origin, discovery, a router, load and a crash, in 20 seconds.

    Ends with a table and the report's path.
    """
    from importlib.resources import as_file, files

    from .running import load_script, new_folder, rehearse

    with as_file(files("gaugehinge.data") / "demo.toml") as file:
        script = load_script(str(file), None)
    sys.exit(rehearse(script, new_folder(out, "demo")))
