"""`gaugehinge emulate FILE`."""

import click


@click.command("emulate", epilog="Example: gaugehinge emulate rehearsals/demo.toml")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--out", type=click.Path(file_okay=False), help="Folder for records; made by name and time.")
@click.option("--for", "lasts", type=click.FloatRange(0.1), help="Seconds; else until interrupted.")
def command(file: str, out: str | None, lasts: float | None) -> None:
    """Play the systems of a script and its steps for routers that you start yourself.

    Prints discovery's address for each router. Steps that concern routers or tenants are left out.
    """
    from pathlib import Path

    import trio

    from ..emulator.fleet import ChildFailed
    from ..rehearsal.emulate import emulate
    from .progress import telling
    from .running import load_script, new_folder

    script = load_script(file, None)
    with telling() as tell:
        try:
            trio.run(emulate, script, new_folder(out, Path(file).stem), lasts, tell)
        except* ChildFailed as bad:
            raise click.ClickException(f"the emulator failed: {bad.exceptions[0]}") from None
        except* KeyboardInterrupt:
            tell("ended")
