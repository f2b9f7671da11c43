"""`gaugehinge serve FILE`."""

import sys
from functools import partial
from typing import Any

import click

from .main import BadInput


@click.command("serve", epilog="Example: gaugehinge --log json serve installation.toml")
@click.argument("file", type=click.Path(dir_okay=False))
def command(file: str) -> None:
    """Serve as one router, by an installation file, until told to leave (SIGTERM).

    SIGHUP reads the file again: discovery, peers and limits follow it, a bad file changes nothing.
    """
    from ..net.early import EarlyHangup

    early = EarlyHangup().listen()
    from ..forms.toml import BadFile
    from ..installation.build import configuration_of, read_installation
    from ..installation.form import Installation
    from ..net.configuration import Configuration
    from ..net.run import run
    from ..settings import SettingsError

    def read() -> Installation:
        try:
            return read_installation(file)
        except BadFile as bad:
            raise SettingsError(str(bad)) from None

    def reread() -> Configuration:
        return configuration_of(read())

    try:
        told = read()
    except SettingsError as bad:
        raise BadInput(str(bad)) from None
    new_door = None
    if told.door.on:
        from ..door.door import Door

        new_door = partial(Door, label=told.door.client)
    extensions, more = [], {}
    if told.cluster.listen or told.cluster.servers:
        from ..cluster.build import extension

        extensions.append(extension(told))
    if told.follow.keeper:
        from ..hosted.build import BadSecret, following
        from ..hosted.front import HostedClientServer

        try:
            follow = following(told)
        except BadSecret as bad:
            raise BadInput(f"{file}: follow.secret_file: {bad}") from None
        if told.placement.on:
            from ..placement.build import placed

            follow = placed(follow)
        if told.drains.on:
            from ..drains.build import Taken, draining

            try:
                follow = _joined(follow, draining(told))
            except Taken as bad:
                raise BadInput(f"{file}: drains.file: {bad}") from None
        extensions.append(follow)
        more["kind"] = HostedClientServer

    followers: list[Any] = []  # made by `following`, when the service is
    if told.recovery.on:
        from ..recovery.build import BadKey, recovering

        try:
            extensions.append(recovering(told, lambda: followers[0] if followers else None))
        except BadKey as bad:
            raise BadInput(f"{file}: recovery.key_file: {bad}") from None

    def extend(service: Any, nursery: Any) -> None:
        for each in extensions:
            made = each(service, nursery)
            if hasattr(made, "roster"):
                followers.append(made)

    sys.exit(run(configuration_of(told), reread, new_door, early, extend if extensions else None, **more))


def _joined(follow: Any, more: Any) -> Any:
    """A follower with one part more."""

    def extend(service: Any, nursery: Any) -> Any:
        follower = follow(service, nursery)
        more(service, nursery, follower)
        return follower

    return extend
