"""`gaugehinge control-plane FILE`."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import click

from .main import BadInput

if TYPE_CHECKING:
    from ..admin.config import ControlPlaneConfig
    from ..admin.process import ExtensionFactory


@click.command("control-plane", epilog="Example: gaugehinge control-plane deploy/keep.toml")
@click.argument("file", type=click.Path(dir_okay=False))
def command(file: str) -> None:
    """Run the control plane: the durable store and the administration API, until told to end (SIGTERM).

    At the first start the secret of the operator `root` is printed, once.
    """
    import trio

    from ..admin.config import read_config
    from ..admin.process import run_control_plane
    from ..forms.toml import BadFile
    from ..store.errors import StoreUnusableError

    try:
        config = read_config(file)
    except BadFile as error:
        raise BadInput(str(error)) from None
    try:
        trio.run(partial(run_control_plane, config, extensions=_extensions(config)))
    except StoreUnusableError as error:
        raise BadInput(str(error)) from None


def _extensions(config: ControlPlaneConfig) -> list[ExtensionFactory]:
    """The extensions that the configuration switches on; those that are off are not imported."""
    extensions: list[ExtensionFactory] = []
    if config.placement.on:
        from ..placement.build import control_plane_factory

        extensions.append(control_plane_factory(config))
    if config.drains.on:
        from ..drains.part import control_plane_part as drains

        extensions.append(drains(config))
    return extensions
