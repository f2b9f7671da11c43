"""`gaugehinge serve FILE`."""

import signal
import sys

import click

from .main import BadInput


@click.command("serve", epilog="Example: gaugehinge --log json serve installation.toml")
@click.argument("file", type=click.Path(dir_okay=False))
def command(file: str) -> None:
    """Serve as one router, by an installation file, until told to leave (SIGTERM).

    SIGHUP reads the file again: discovery, peers and limits follow it, a bad file changes nothing.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # it ends a process that does not hear it yet, or no more
    from ..charter import BadCharter
    from ..forms.toml import BadFile
    from ..installation.build import berth_of, read_installation
    from ..net.berth import Berth
    from ..net.run import run

    def reread() -> Berth:
        try:
            return berth_of(read_installation(file))
        except BadFile as bad:
            raise BadCharter(str(bad)) from None

    try:
        berth = reread()
    except BadCharter as bad:
        raise BadInput(str(bad)) from None
    sys.exit(run(berth, reread))
