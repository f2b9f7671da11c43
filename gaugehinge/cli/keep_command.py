"""`gaugehinge keep FILE`."""

from functools import partial

import click

from .main import BadInput


@click.command("keep", epilog="Example: gaugehinge keep deploy/keep.toml")
@click.argument("file", type=click.Path(dir_okay=False))
def command(file: str) -> None:
    """Keep the durable store and serve the administration API, until told to end (SIGTERM).

    At the first start the secret of the operator `root` is printed, once.
    """
    import trio

    from ..admin.keep import keep, read_keep
    from ..forms.toml import BadFile
    from ..store.errors import StoreUnusableError

    try:
        told = read_keep(file)
    except BadFile as bad:
        raise BadInput(str(bad)) from None
    parts = []
    if told.placement.on:
        from ..placement.build import keeping as placing

        parts.append(placing(told))
    if told.drains.on:
        from ..drains.part import control_plane_part

        parts.append(control_plane_part(told))
    try:
        trio.run(partial(keep, told, parts=parts))
    except StoreUnusableError as bad:
        raise BadInput(str(bad)) from None
