"""`gaugehinge check FILE`."""

import click

from .main import BadInput


@click.command("check", epilog="Example: gaugehinge check rehearsals/bad-morning.toml --as script")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option(
    "--as",
    "kind",
    type=click.Choice(["installation", "script"]),
    default="installation",
    show_default=True,
    help="What the file is.",
)
def command(file: str, kind: str) -> None:
    """Read a file and say whether it makes sense; nothing is started."""
    from ..forms.toml import BadFile

    try:
        if kind == "script":
            from ..rehearsal.script import read_script

            script = read_script(file)
            told = f"{len(script.step)} steps, {len(script.expect)} expectations, {script.lasts:g} s"
        else:
            from ..installation.build import charter_of, read_installation

            found = read_installation(file)
            charter_of(found)
            told = f"router {found.name}, {len(found.traffic)} traffic types, {len(found.tenants)} tenants"
    except BadFile as bad:
        raise BadInput(str(bad)) from None
    click.echo(f"{file}: good: {told}")
