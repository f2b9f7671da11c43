"""`gaugehinge schema`."""

import json

import click


@click.command("schema", epilog="Example: gaugehinge schema > installation.schema.json")
@click.option(
    "--of",
    "kind",
    type=click.Choice(["installation", "script"]),
    default="installation",
    show_default=True,
    help="Which file's form.",
)
@click.option("--page", is_flag=True, help="The reference page in Markdown instead.")
def command(kind: str, page: bool) -> None:
    """Print the JSON Schema of a file, or its reference page."""
    from ..forms import reference

    if kind == "script":
        from ..rehearsal.script import REFERENCE
        from ..rehearsal.script import Script as form
    else:
        from ..installation.form import REFERENCE
        from ..installation.form import Installation as form
    if page:
        click.echo(reference.page(*REFERENCE, form))
    else:
        click.echo(json.dumps(reference.schema(form), indent=2))
