"""`gaugehinge serve FILE`."""

import sys

import click

from .main import BadInput


@click.command("serve", epilog="Example: gaugehinge --log json serve installation.toml")
@click.argument("file", type=click.Path(dir_okay=False))
def command(file: str) -> None:
    """Serve as one router, by an installation file, until told to leave (SIGTERM).

    SIGHUP reads the file again: discovery, peers and limits follow it, a bad file changes nothing.
    """
    from ..net.signals import EarlyHangup

    early_hangup = EarlyHangup().listen()
    from ..forms.toml import BadFile
    from ..installation.build import configuration_of, read_installation
    from ..installation.form import Installation
    from ..net.configuration import Configuration
    from ..net.run import run
    from ..settings import SettingsError
    from .serve_extensions import admission_control_builder, client_server_class, extension_builder

    def read() -> Installation:
        try:
            return read_installation(file)
        except BadFile as bad:
            raise SettingsError(str(bad)) from None

    def reread() -> Configuration:
        return configuration_of(read())

    try:
        installation = read()
    except SettingsError as bad:
        raise BadInput(str(bad)) from None
    exit_code = run(
        configuration_of(installation),
        reread,
        early_hangup=early_hangup,
        build_admission_control=admission_control_builder(installation),
        build_extensions=extension_builder(installation, file),
        client_server_class=client_server_class(installation),
    )
    sys.exit(exit_code)
