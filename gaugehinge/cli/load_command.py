"""`gaugehinge load FILE`."""

import sys

import click

from .main import BadInput


def read_address(text: str) -> tuple[str, int]:
    """`127.0.0.1:6379`: loopback alone, since it is a load. Raises BadInput."""
    import ipaddress

    host, _, port = text.rpartition(":")
    try:
        inside = ipaddress.ip_address(host).is_loopback
        number = int(port)
    except ValueError:
        raise BadInput(f"--to: {text!r} is no numeric address and port") from None
    if not inside or not 0 < number < 65536:
        raise BadInput(f"--to: {text!r} is no loopback address and port")
    return host, number


@click.command("load", epilog="Example: gaugehinge load rehearsals/demo.toml --to 127.0.0.1:6379")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--to", "targets", multiple=True, help="Address of a router on loopback; may be given again.")
@click.option(
    "--replay",
    type=click.Path(file_okay=False),
    help="Folder of a recorded run: its first tries are sent again, instead of a drawn schedule.",
)
@click.option(
    "--speed", type=click.FloatRange(0.01, 100), default=1.0, show_default=True, help="Of the replay."
)
@click.option("--seed", type=click.IntRange(0, (1 << 32) - 1), help="Instead of the script's.")
@click.option("--out", type=click.Path(file_okay=False), help="Folder for records; made by name and time.")
def command(
    file: str, targets: tuple[str, ...], replay: str | None, speed: float, seed: int | None, out: str | None
) -> None:
    """Send a script's load to routers that serve already, or, without --to, rehearse with a replayed load.

    Open loop: arrivals follow the schedule and are never held back by answers.
    """
    from pathlib import Path

    from .running import load_script, new_folder, rehearse

    script = load_script(file, seed)
    recorded: tuple[str, ...] = ()
    if replay is not None:
        recorded = tuple(str(path) for path in sorted(Path(replay).glob("load-*.rec")))
        if not recorded:
            raise BadInput(f"{replay}: load-0.rec: missing: no recorded run")
    elif speed != 1.0:
        raise BadInput("--speed: only with --replay")
    folder = new_folder(out, Path(file).stem)
    if not targets:
        sys.exit(rehearse(script, folder, recorded, speed))
    import trio

    from ..emulator.fleet import ChildFailed
    from ..rehearsal.send import send
    from .progress import CONSOLE, telling

    addresses = tuple(read_address(text) for text in targets)
    with telling() as tell:
        try:
            outcomes = trio.run(send, script, folder, addresses, recorded, speed, tell)
        except* ChildFailed as bad:
            raise click.ClickException(f"the load failed: {bad.exceptions[0]}") from None
    for name, count in sorted(outcomes.items()):
        CONSOLE.print(f"{name}: {count}")
    CONSOLE.print(f"records: {folder}")
